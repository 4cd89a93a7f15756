// Package view provides snapshots of the fleet's state for the other packages of
// an entry. Each is the state after one record of the log.
//
// A View is immutable, so that it can be read concurrently without a lock:
//
//	v := view.New(state)
//	h, ok := v.Host("h01")
//	if ok && h.Available() && h.Pool() == "fitting" {
//		// The host takes requests of that pool.
//	}
package view

import (
	"slices"

	"fescuelanding/fleet"
	"fescuelanding/fleet/config"
	"fescuelanding/fleet/record"
)

// View is the state after the record at its offset. The zero value is the view
// of an entry that has not read any records.
type View struct {
	offset       uint64
	config       config.Config
	configOffset uint64
	hosts        map[string]fleet.Host
	pools        map[string][]fleet.Host
	entries      []fleet.Entry
	owners       map[string]fleet.Owner
	steps        []Step
}

// Step is a drain, release or loss of a host that entries have yet to confirm. An
// entry confirms it once it has no requests in flight on the host.
type Step struct {
	host        string
	offset      uint64
	unconfirmed []string
}

// Host returns the name of the host.
func (s Step) Host() string { return s.host }

// Offset returns the offset of the record that began the step.
func (s Step) Offset() uint64 { return s.offset }

// WaitsFor reports whether an entry has yet to confirm the step.
func (s Step) WaitsFor(entry string) bool { return slices.Contains(s.unconfirmed, entry) }

// Ref returns a reference to the step, for use in a Confirm record.
func (s Step) Ref() *record.StepRef {
	return &record.StepRef{Host: s.host, Offset: s.offset}
}

// New returns the view of a state. Later changes of the state don't affect it.
func New(s *fleet.State) *View {
	v := &View{
		offset: s.Offset(), config: s.Config(), configOffset: s.ConfigOffset(), entries: s.Entries(),
		hosts: map[string]fleet.Host{}, pools: map[string][]fleet.Host{}, owners: map[string]fleet.Owner{},
	}
	for _, h := range s.Hosts() {
		v.hosts[h.Name()] = h
		v.pools[h.Pool()] = append(v.pools[h.Pool()], h)
		if w := s.UnconfirmedEntries(h.Name()); len(w) > 0 {
			v.steps = append(v.steps, Step{host: h.Name(), offset: h.Step(), unconfirmed: w})
		}
	}
	v.addOwner(s, fleet.PlannerKey)
	for _, p := range v.config.Pools() {
		v.addOwner(s, fleet.PoolKey(p.Name()))
	}
	return v
}

func (v *View) addOwner(s *fleet.State, key string) {
	if o, ok := s.Owner(key); ok {
		v.owners[key] = o
	}
}

// Offset returns the offset of the last record applied.
func (v *View) Offset() uint64 { return v.offset }

// Config returns the configuration in force.
func (v *View) Config() config.Config { return v.config }

// ConfigOffset returns the offset of the configuration in force, or zero if there
// is none.
func (v *View) ConfigOffset() uint64 { return v.configOffset }

// Host returns a host by name, and whether it exists.
func (v *View) Host(name string) (fleet.Host, bool) {
	h, ok := v.hosts[name]
	return h, ok
}

// Pool returns the hosts of a pool. The caller must not change the slice.
func (v *View) Pool(name string) []fleet.Host { return v.pools[name] }

// Broker returns the owner of a pool, which runs the pool's broker, and whether
// there is one.
func (v *View) Broker(pool string) (fleet.Owner, bool) {
	o, ok := v.owners[fleet.PoolKey(pool)]
	return o, ok
}

// Planner returns the owner of planning, and whether there is one.
func (v *View) Planner() (fleet.Owner, bool) {
	o, ok := v.owners[fleet.PlannerKey]
	return o, ok
}

// Entries returns the registered entries, sorted by name. The caller must not
// change the slice.
func (v *View) Entries() []fleet.Entry { return v.entries }

// Entry returns a registered entry by name, and whether it exists.
func (v *View) Entry(name string) (fleet.Entry, bool) {
	i := slices.IndexFunc(v.entries, func(e fleet.Entry) bool { return e.Name() == name })
	if i < 0 {
		return fleet.Entry{}, false
	}
	return v.entries[i], true
}

// Steps returns the steps that wait for confirmations. The caller must not change
// the slice.
func (v *View) Steps() []Step { return v.steps }
