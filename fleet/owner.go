package fleet

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// PlannerKey is the key whose owner is the planner: the entry that writes the
// steps of hosts.
const PlannerKey = "planner"

// _poolKeyPrefix is the prefix of a pool's key.
const _poolKeyPrefix = "pool/"

// PoolKey returns the key whose owner is the broker of a pool: the entry that
// schedules the pool's requests and jobs.
func PoolKey(pool string) string { return _poolKeyPrefix + pool }

// Owner is the owner of a key. It is an immutable copy.
type Owner struct {
	key         string
	entry       string
	incarnation uint64
	term        uint64
	witness     string
	hash        uint64
}

// Entry returns the name of the owning entry.
func (o Owner) Entry() string { return o.entry }

// Incarnation returns the incarnation number of the owner's process.
func (o Owner) Incarnation() uint64 { return o.incarnation }

// Term returns the offset of the record with which the current process became the
// owner. It serves as a fencing token.
func (o Owner) Term() uint64 { return o.term }

// Witness returns the entry that would own the key if the owner weren't eligible, or
// "" if there is none.
func (o Owner) Witness() string { return o.witness }

// Owner returns the owner of PlannerKey or of a pool's key. It reports false while
// no entry is eligible, that is registered, not leaving and not suspected.
func (s *State) Owner(key string) (Owner, bool) {
	o, ok := s.owners[key]
	return o, ok
}

// assignOwners recomputes the owner of each key. A new term begins at the offset
// where the key passes to another process.
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

// assignOwner computes the owner of one key and stores it in owners.
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

// eligible returns the sorted names of the entries that may own keys.
func (s *State) eligible() []string {
	var names []string
	for _, n := range s.entryNames() {
		if s.entries[n].eligible() {
			names = append(names, n)
		}
	}
	return names
}

// ranking finds the first two entries for a key by rendezvous hashing. The
// library's Remove panics with an index out of range, so the second entry is looked
// up in a table without the first. There is one such table for each entry.
type ranking struct {
	all     *rendezvous.Rendezvous
	without map[string]*rendezvous.Rendezvous
}

func newRanking(names []string) ranking {
	r := ranking{all: newTable(names), without: make(map[string]*rendezvous.Rendezvous, len(names))}
	for i, n := range names {
		others := append(append([]string{}, names[:i]...), names[i+1:]...)
		r.without[n] = newTable(others)
	}
	return r
}

// top returns the first and the second entry for a key; "" stands for none.
func (r ranking) top(key string) (first, second string) {
	first = r.all.Lookup(key)
	if first == "" {
		return "", ""
	}
	return first, r.without[first].Lookup(key)
}

func newTable(names []string) *rendezvous.Rendezvous {
	return rendezvous.New(names, xxhash.Sum64String)
}
