package fleet

import (
	"slices"

	"fescuelanding/fleet/config"
)

// State is what the records of the log have made of the fleet. The zero value
// is the empty fleet before the first record. It isn't safe for concurrent use;
// what its methods return is.
type State struct {
	offset  uint64
	head    head
	config  config.Config
	hosts   map[string]Host
	names   []string // Names of the hosts, sorted.
	pools   map[string]PoolCount
	entries map[string]Entry
	owners  map[string]Owner
	recalls map[string]recall
	waves   map[string]wave
	ids     idWindow
	digest  digest
}

// head is what belongs to no single object.
type head struct {
	configOffset uint64
	// Offsets of the last removals of an entry, a recall and a wave. They are the
	// basis of a record that creates one, so that a late repetition of a creation
	// doesn't bring a removed object back.
	entryFloor, recallFloor, waveFloor uint64
	checkpoint                         checkpointProgress
}

// Offset returns the offset of the last record that was applied, accepted or
// not; 0 before the first.
func (s *State) Offset() uint64 { return s.offset }

// Config returns the configuration in force.
func (s *State) Config() config.Config { return s.config }

// ConfigOffset returns the offset of the record that brought the configuration
// in force.
func (s *State) ConfigOffset() uint64 { return s.head.configOffset }

// Host returns a host by name.
func (s *State) Host(name string) (Host, bool) {
	h, ok := s.hosts[name]
	return h, ok
}

// Hosts returns all hosts, sorted by name.
func (s *State) Hosts() []Host {
	all := make([]Host, 0, len(s.names))
	for _, n := range s.names {
		all = append(all, s.hosts[n])
	}
	return all
}

// Pool returns the counts of a pool.
func (s *State) Pool(name string) (PoolCount, bool) {
	p, ok := s.pools[name]
	return p, ok
}

// Entry returns a registered entry by name.
func (s *State) Entry(name string) (Entry, bool) {
	e, ok := s.entries[name]
	return e, ok
}

// Entries returns the registered entries, sorted by name.
func (s *State) Entries() []Entry {
	all := make([]Entry, 0, len(s.entries))
	for _, n := range s.entryNames() {
		all = append(all, s.entries[n])
	}
	return all
}

// Confirmers returns the entries whose confirmation the host's step waits for,
// sorted.
func (s *State) UnconfirmedEntries(host string) []string {
	return slices.Clone(s.hosts[host].waiting)
}

// Intents returns what operators want of a host.
func (s *State) Intent(host string) Intent { return s.hosts[host].intent }

// PoolCount is how many hosts a pool has. It is a copy and doesn't change.
type PoolCount struct {
	name      string
	total     int
	available int
	incoming  int
	budget    int
}

// Name returns the pool's name.
func (p PoolCount) Name() string { return p.name }

// Total returns how many hosts are in the pool.
func (p PoolCount) Total() int { return p.total }

// Available returns how many of them serve and aren't released.
func (p PoolCount) Available() int { return p.available }

// Incoming returns how many hosts of other pools are released to this one.
func (p PoolCount) Incoming() int { return p.incoming }

// Budget returns how many hosts voluntary steps must leave available.
func (p PoolCount) Budget() int { return p.budget }

// count adds n times a host to the counts of the pools it concerns.
func (s *State) count(h Host, n int) {
	p := s.pools[h.pool]
	p.total += n
	if h.Available() {
		p.available += n
	}
	s.pools[h.pool] = p
	if h.movingTo == "" {
		return
	}
	p = s.pools[h.movingTo]
	p.incoming += n
	s.pools[h.movingTo] = p
}

// putHost stores a host and keeps counts and digest up to date.
func (s *State) putHost(h Host) {
	if s.hosts == nil {
		s.hosts = make(map[string]Host)
	}
	if old, ok := s.hosts[h.name]; ok {
		s.count(old, -1)
		s.digest.remove(old.hash)
	} else if i, found := slices.BinarySearch(s.names, h.name); !found {
		s.names = slices.Insert(s.names, i, h.name)
	}
	h.hash = s.digest.hashHost(h)
	s.digest.add(h.hash)
	s.hosts[h.name] = h
	s.count(h, 1)
}

// removeHost forgets a host.
func (s *State) removeHost(name string) {
	h := s.hosts[name]
	s.count(h, -1)
	s.digest.remove(h.hash)
	delete(s.hosts, name)
	if i, found := slices.BinarySearch(s.names, name); found {
		s.names = slices.Delete(s.names, i, i+1)
	}
}

// putEntry stores an entry.
func (s *State) putEntry(e Entry) {
	if s.entries == nil {
		s.entries = make(map[string]Entry)
	}
	s.digest.remove(s.entries[e.name].hash)
	e.hash = s.digest.hashEntry(e)
	s.digest.add(e.hash)
	s.entries[e.name] = e
}

// removeEntry forgets an entry.
func (s *State) removeEntry(name string) {
	s.digest.remove(s.entries[name].hash)
	delete(s.entries, name)
}
