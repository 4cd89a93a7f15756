package operator

import (
	"fmt"
	"io"
	"net/netip"
	"time"

	"fescuelanding/fleet/config"
	"fescuelanding/fleet/record"
)

// Defaults for hosts that are declared without the options Slots and Connections.
const (
	DefaultSlots       = 8
	DefaultConnections = 64
)

// Fleet collects declarations. The zero value is an empty fleet with the default
// policy.
type Fleet struct {
	sections []*record.Section
}

// Policy declares the policy of the whole fleet.
func (f *Fleet) Policy(options ...PolicyOption) {
	s := f.declare(config.KindFleet, "")
	for _, o := range options {
		o(s)
	}
}

// DataCentre declares a data centre and its region.
func (f *Fleet) DataCentre(name, region string) DataCentre {
	f.declare(config.KindDataCentre, name).set(config.KeyRegion, region)
	return DataCentre{name: name}
}

// Class declares a class of requests with common time limits.
func (f *Fleet) Class(name string, options ...ClassOption) Class {
	s := f.declare(config.KindClass, name)
	for _, o := range options {
		o(s)
	}
	return Class{name: name}
}

// Team declares a group of callers and its weight relative to the other teams.
func (f *Fleet) Team(name string, weight int, options ...TeamOption) {
	s := f.declare(config.KindTeam, name)
	s.count(config.KeyWeight, weight)
	for _, o := range options {
		o(s)
	}
}

// Pool declares a set of hosts with its availability budget.
func (f *Fleet) Pool(name string, options ...PoolOption) Pool {
	s := f.declare(config.KindPool, name)
	for _, o := range options {
		o(s)
	}
	return Pool{name: name}
}

// Service declares a service, which callers name in a request, with the pool that
// runs it and the class of requests that name no class.
func (f *Fleet) Service(name string, p Pool, c Class, options ...ServiceOption) {
	s := f.declare(config.KindService, name)
	s.set(config.KeyPool, p.name)
	s.set(config.KeyClass, c.name)
	for _, o := range options {
		o(s)
	}
}

// Host declares a host with the pool to which it belongs until it is moved, its
// rack, and the address on which its upstream listens.
func (f *Fleet) Host(name string, home Pool, r Rack, address netip.AddrPort, options ...HostOption) {
	s := f.declare(config.KindHost, name)
	s.set(config.KeyAddress, address.String())
	s.set(config.KeyDataCentre, r.dataCentre.name)
	s.set(config.KeyRack, r.name)
	s.set(config.KeyHome, home.name)
	s.count(config.KeySlots, DefaultSlots)
	s.count(config.KeyConnections, DefaultConnections)
	for _, o := range options {
		o(s)
	}
}

// Config returns the declared configuration. The error wraps a *config.Invalid.
func (f *Fleet) Config() (config.Config, error) {
	c, err := config.FromSections(f.sections)
	if err != nil {
		return config.Config{}, fmt.Errorf("declared fleet: %w", err)
	}
	return c, nil
}

// Text returns the declared configuration as INI. The error wraps a
// *config.Invalid.
func (f *Fleet) Text() ([]byte, error) {
	c, err := f.Config()
	if err != nil {
		return nil, err
	}
	return c.Text(), nil
}

// Print writes the declared configuration as INI to w. It writes nothing if the
// declarations are invalid; the error then wraps a *config.Invalid.
func (f *Fleet) Print(w io.Writer) error {
	t, err := f.Text()
	if err != nil {
		return err
	}
	if _, err := w.Write(t); err != nil {
		return fmt.Errorf("print configuration: %w", err)
	}
	return nil
}

func (f *Fleet) declare(kind, name string) section {
	s := section{&record.Section{Kind: kind, Name: name}}
	f.sections = append(f.sections, s.record)
	return s
}

// DataCentre refers to a declared data centre.
type DataCentre struct{ name string }

// Rack returns a rack of the data centre. Racks need no declaration.
func (d DataCentre) Rack(name string) Rack { return Rack{dataCentre: d, name: name} }

// Rack refers to a group of hosts that share power and a network switch.
type Rack struct {
	dataCentre DataCentre
	name       string
}

// Class refers to a declared class.
type Class struct{ name string }

// Pool refers to a declared pool.
type Pool struct{ name string }

// section is a declaration to which options add settings.
type section struct{ record *record.Section }

// set sets a key, replacing any earlier value.
func (s section) set(key, value string) {
	for _, v := range s.record.GetSettings() {
		if v.GetKey() == key {
			v.Value = value
			return
		}
	}
	s.record.Settings = append(s.record.Settings, &record.Setting{Key: key, Value: value})
}

func (s section) count(key string, n int) { s.set(key, fmt.Sprint(n)) }

func (s section) duration(key string, d time.Duration) { s.set(key, d.String()) }

func (s section) on(key string) { s.set(key, "true") }
