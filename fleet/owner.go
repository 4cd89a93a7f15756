package fleet

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// PlannerKey is the key whose owner plans.
const PlannerKey = "planner"

// _poolKeyPrefix begins the key of a pool's broker.
const _poolKeyPrefix = "pool/"

// PoolKey returns the key whose owner is the broker of a pool.
func PoolKey(pool string) string { return _poolKeyPrefix + pool }

// Owner is the entry that acts for a key. It is a copy and doesn't change.
type Owner struct {
	key         string
	entry       string
	incarnation uint64
	term        uint64
	witness     string
	hash        uint64
}

// Entry returns the name of the owner.
func (o Owner) Entry() string { return o.entry }

// Incarnation returns the number of the owner's process.
func (o Owner) Incarnation() uint64 { return o.incarnation }

// Term returns the offset at which the owner or its process last changed.
func (o Owner) Term() uint64 { return o.term }

// Witness returns the entry that would own the key without the owner, or ""
// where there is none.
func (o Owner) Witness() string { return o.witness }

// Owner returns the owner of PlannerKey or of a pool's key. There is none while
// no entry is eligible: registered, not leaving, not suspected.
func (s *State) Owner(key string) (Owner, bool) {
	o, ok := s.owners[key]
	return o, ok
}

// assignOwners finds the owner of each key anew. A term begins at the offset
// where another process wins the key.
func (s *State) assignOwners(offset uint64) {
	r := newRanking(s.eligible())
	owners := make(map[string]Owner, len(s.pools)+1)
	s.assignOwner(owners, r, PlannerKey, offset)
	for p := range s.pools {
		s.assignOwner(owners, r, PoolKey(p), offset)
	}
	for k, o := range s.owners {
		if _, ok := owners[k]; !ok {
			s.digest.remove(o.hash)
		}
	}
	s.owners = owners
}

// assignOwner finds the owner of one key.
func (s *State) assignOwner(owners map[string]Owner, r ranking, key string, offset uint64) {
	winner, witness := r.top(key)
	if winner == "" {
		return
	}
	old := s.owners[key]
	o := Owner{key: key, entry: winner, incarnation: s.entries[winner].incarnation, term: offset, witness: witness}
	if old.entry == o.entry && old.incarnation == o.incarnation {
		o.term = old.term
	}
	o.hash = old.hash
	if o != old {
		s.digest.remove(old.hash)
		o.hash = s.digest.hashOwner(o)
		s.digest.add(o.hash)
	}
	owners[key] = o
}

// eligible returns the names of the entries that may own keys, sorted.
func (s *State) eligible() []string {
	var names []string
	for _, n := range s.entryNames() {
		if s.entries[n].eligible() {
			names = append(names, n)
		}
	}
	return names
}

// ranking gives the first two entries of each key's rendezvous order. The
// library's Remove goes out of range, so there is one more table for each entry,
// without it, to find the second.
type ranking struct {
	all     *rendezvous.Rendezvous
	without map[string]*rendezvous.Rendezvous
}

// newRanking returns the ranking of some entries.
func newRanking(names []string) ranking {
	r := ranking{all: newTable(names), without: make(map[string]*rendezvous.Rendezvous, len(names))}
	for i, n := range names {
		others := append(append([]string{}, names[:i]...), names[i+1:]...)
		r.without[n] = newTable(others)
	}
	return r
}

// top returns the first and the second entry for a key, or "".
func (r ranking) top(key string) (first, second string) {
	first = r.all.Lookup(key)
	if first == "" {
		return "", ""
	}
	return first, r.without[first].Lookup(key)
}

// newTable returns the library's table of some entries.
func newTable(names []string) *rendezvous.Rendezvous {
	return rendezvous.New(names, xxhash.Sum64String)
}
