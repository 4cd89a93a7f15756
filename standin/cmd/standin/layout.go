package main

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"fescuelanding/operator"
	"fescuelanding/standin/internal/process"
)

const (
	_demoService  = "sizeCheck"
	_demoTeam     = "counters"
	_demoEntries  = 3
	_demoHosts    = 4
	_entryPorts   = 3
	_minAvailable = 2
)

// layout holds the addresses of every process of the demo.
type layout struct {
	platform        string
	upstreamControl string // control API of the upstream stand-ins
	hosts           []hostAddress
	entries         []entryAddresses
}

// hostAddress is a host's name and address.
type hostAddress struct {
	name    string
	address string
}

// entryAddresses is an entry's name and the addresses it listens on.
type entryAddresses struct {
	name                string
	caller, peer, admin string
}

func newLayout() (layout, error) {
	a, err := process.FreeAddresses(2 + _demoHosts + _demoEntries*_entryPorts)
	if err != nil {
		return layout{}, err
	}
	l := layout{platform: a[0], upstreamControl: a[1]}
	a = a[2:]
	for i := range _demoHosts {
		l.hosts = append(l.hosts, hostAddress{name: fmt.Sprintf("host%d", i+1), address: a[i]})
	}
	a = a[_demoHosts:]
	for i := range _demoEntries {
		p := a[i*_entryPorts:]
		l.entries = append(l.entries, entryAddresses{
			name: fmt.Sprintf("entry%d", i+1), caller: p[0], peer: p[1], admin: p[2],
		})
	}
	return l, nil
}

func (l layout) platformURL() string { return "http://" + l.platform }

func (l layout) upstreamControlURL() string { return "http://" + l.upstreamControl }

func (l layout) callerURLs() []string {
	var u []string
	for _, e := range l.entries {
		u = append(u, "http://"+e.caller)
	}
	return u
}

func (l layout) platformArgs() []string {
	a := []string{"platform", "--listen", l.platform}
	for _, h := range l.hosts {
		a = append(a, "--host", h.name)
	}
	for _, e := range l.entries {
		a = append(a, "--host", e.name)
	}
	return a
}

func (l layout) upstreamArgs() []string {
	a := []string{"upstream", "--control", l.upstreamControl}
	for _, h := range l.hosts {
		a = append(a, "--executor", h.name+"="+h.address)
	}
	return a
}

// settings returns the settings file of an entry, in INI format.
func (l layout) settings(e entryAddresses) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "[entry]\nname = %s\ndataCentre = mct1\n\n", e.name)
	fmt.Fprintf(&b, "[listen]\ncaller = %s\npeer = %s\nadmin = %s\n\n", e.caller, e.peer, e.admin)
	fmt.Fprintf(&b, "[platform]\nurl = %s\n", l.platformURL())
	for _, o := range l.entries {
		if o.name != e.name {
			fmt.Fprintf(&b, "\n[peer %q]\naddress = %s\n", o.name, o.peer)
		}
	}
	return []byte(b.String())
}

// config returns the configuration as an operator would write it: a pool of
// three hosts, a pool with one spare host, and two services.
func (l layout) config() *operator.Fleet {
	f := new(operator.Fleet)
	counter := f.Class("counter", operator.Urgent(time.Second), operator.Deadline(10*time.Second), operator.MaxRun(5*time.Second))
	f.Team(_demoTeam, 1)
	fitting := f.Pool("fitting", operator.MinAvailable(_minAvailable))
	spare := f.Pool("spare", operator.Spare())
	f.Service(_demoService, fitting, counter, operator.Idempotent())
	f.Service("kitHold", fitting, counter)
	centre := f.DataCentre("mct1", "muscat")
	for i, h := range l.hosts {
		home := fitting
		if i == len(l.hosts)-1 {
			home = spare
		}
		f.Host(h.name, home, centre.Rack(fmt.Sprintf("rack%d", i+1)), netip.MustParseAddrPort(h.address))
	}
	return f
}
