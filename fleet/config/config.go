package config

import (
	"fescuelanding/fleet/record"
)

// data is the content of a Config. It is immutable once a Config refers to it.
type data struct {
	fleet       table[Fleet]
	dataCentres table[DataCentre]
	classes     table[Class]
	teams       table[Team]
	pools       table[Pool]
	services    table[Service]
	hosts       table[Host]
}

// copyOnWrite returns a copy of d that may be changed. Each of its tables shares
// rows with d until its first change.
func (d *data) copyOnWrite() *data {
	return &data{
		fleet:       d.fleet.copyOnWrite(),
		dataCentres: d.dataCentres.copyOnWrite(),
		classes:     d.classes.copyOnWrite(),
		teams:       d.teams.copyOnWrite(),
		pools:       d.pools.copyOnWrite(),
		services:    d.services.copyOnWrite(),
		hosts:       d.hosts.copyOnWrite(),
	}
}

// Config is a consistent configuration of a fleet.
type Config struct {
	d *data
}

// FromSections returns the configuration that consists of the given sections.
// The error is an *Invalid.
func FromSections(s []*record.Section) (Config, error) {
	return Config{}.build(&record.ConfigChange{Set: s}, new(Invalid))
}

// With returns a copy of c with the change applied; c is not modified. The error
// is an *Invalid.
func (c Config) With(change *record.ConfigChange) (Config, error) {
	return c.build(change, new(Invalid))
}

// build applies a change and adds the problems that it finds to e.
func (c Config) build(change *record.ConfigChange, e *Invalid) (Config, error) {
	d := c.data().copyOnWrite()
	for _, r := range change.GetRemoved() {
		k, ok := findKind(r.GetKind())
		if !ok || !k.remove(d, r.GetName()) {
			e.add(Problem{reason: ErrAbsent, kind: r.GetKind(), name: r.GetName(), want: "a section in force"})
		}
	}
	setSections(d, change.GetSet(), e)
	d.check(e)
	if err := e.err(); err != nil {
		return Config{}, err
	}
	return Config{d: d}, nil
}

// setSections parses the sections and stores their objects in d, replacing those
// with the same kind and name.
func setSections(d *data, sections []*record.Section, e *Invalid) {
	type id struct{ kind, name string }
	seen := make(map[id]bool, len(sections))
	for _, s := range sections {
		p := Problem{kind: s.GetKind(), name: s.GetName()}
		k, ok := findKind(s.GetKind())
		if !ok {
			p.reason, p.want = ErrKind, kindNames()
			e.add(p)
			continue
		}
		if want := checkSectionName(s); want != "" {
			p.reason, p.want = ErrName, want
			e.add(p)
			continue
		}
		if seen[id{s.GetKind(), s.GetName()}] {
			p.reason, p.want = ErrDuplicate, "one section for it"
			e.add(p)
			continue
		}
		seen[id{s.GetKind(), s.GetName()}] = true
		k.set(d, s, e)
	}
}

// checkSectionName returns "" if the section's name is valid, and otherwise a
// description of a valid name.
func checkSectionName(s *record.Section) string {
	if s.GetKind() == KindFleet {
		if s.GetName() != "" {
			return "no name"
		}
		return ""
	}
	if err := checkName(s.GetName()); err != nil {
		return err.Error()
	}
	return ""
}

// Sections returns the configuration as sections, sorted by kind and then by
// name.
func (c Config) Sections() []*record.Section {
	var r []*record.Section
	for _, k := range _kinds {
		r = k.sections(c.data(), r)
	}
	return r
}

// Diff returns the change that turns c into to. The change is empty if the two
// are equal.
func (c Config) Diff(to Config) *record.ConfigChange {
	r := new(record.ConfigChange)
	for _, k := range _kinds {
		k.diff(c.data(), to.data(), r)
	}
	return r
}

// Equal reports whether c and o have the same content.
func (c Config) Equal(o Config) bool {
	if c.d == o.d {
		return true
	}
	d := c.Diff(o)
	return len(d.GetSet()) == 0 && len(d.GetRemoved()) == 0
}

// Fleet returns the policy, or the default policy if no section declares it.
func (c Config) Fleet() Fleet {
	if f := c.data().fleet.get(""); f != nil {
		return *f
	}
	return newFleet("")
}

// DataCentres returns the data centres sorted by name.
func (c Config) DataCentres() []DataCentre { return c.data().dataCentres.values() }

// DataCentre returns the data centre with the given name and whether it exists.
func (c Config) DataCentre(name string) (DataCentre, bool) { return value(&c.data().dataCentres, name) }

// Classes returns the classes sorted by name.
func (c Config) Classes() []Class { return c.data().classes.values() }

// Class returns the class with the given name and whether it exists.
func (c Config) Class(name string) (Class, bool) { return value(&c.data().classes, name) }

// Teams returns the teams sorted by name.
func (c Config) Teams() []Team { return c.data().teams.values() }

// Team returns the team with the given name and whether it exists.
func (c Config) Team(name string) (Team, bool) { return value(&c.data().teams, name) }

// Pools returns the pools sorted by name.
func (c Config) Pools() []Pool { return c.data().pools.values() }

// Pool returns the pool with the given name and whether it exists.
func (c Config) Pool(name string) (Pool, bool) { return value(&c.data().pools, name) }

// Services returns the services sorted by name.
func (c Config) Services() []Service { return c.data().services.values() }

// Service returns the service with the given name and whether it exists.
func (c Config) Service(name string) (Service, bool) { return value(&c.data().services, name) }

// Hosts returns the hosts sorted by name.
func (c Config) Hosts() []Host { return c.data().hosts.values() }

// Host returns the host with the given name and whether it exists.
func (c Config) Host(name string) (Host, bool) { return value(&c.data().hosts, name) }

var _empty data

func (c Config) data() *data {
	if c.d == nil {
		return &_empty
	}
	return c.d
}

// value returns a copy of the row with the given name and whether it exists.
func value[T row](t *table[T], name string) (T, bool) {
	if r := t.get(name); r != nil {
		return *r, true
	}
	var zero T
	return zero, false
}
