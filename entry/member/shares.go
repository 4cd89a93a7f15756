// Package member keeps what the store's group deals to an entry, and the token under
// which it holds each part of it. It has no clock and no network.
package member

import (
	"slices"
	"time"
)

// Assignment tells what an entry holds now.
type Assignment struct {
	// Generation rises with each change of the group.
	Generation int64
	Partitions []int
	// ConfirmedAt is when the call was sent that confirmed it.
	ConfirmedAt time.Time
}

// Partitions are the partitions that the group deals to this entry, each with its
// token: the generation in which it was gained, as no two entries gain a partition
// in one generation. The zero value holds none.
type Partitions struct {
	tokens map[int]int64
	// lost are partitions that the group deals here, though a later owner was
	// heard of, with the generation known then. In a later one they are gained
	// anew.
	lost map[int]int64
	held Assignment
}

// Assign takes in what the group deals, and reports whether that has changed.
func (s *Partitions) Assign(c Assignment) bool {
	if s.tokens == nil {
		s.tokens, s.lost = make(map[int]int64), make(map[int]int64)
	}
	for k := range s.tokens {
		if !slices.Contains(c.Partitions, k) {
			delete(s.tokens, k)
			delete(s.lost, k)
		}
	}
	for _, k := range c.Partitions {
		at, lost := s.lost[k]
		if _, held := s.tokens[k]; !held || lost && c.Generation > at {
			s.tokens[k] = c.Generation
			delete(s.lost, k)
		}
	}
	changed := !slices.Equal(c.Partitions, s.held.Partitions)
	s.held = c
	return changed
}

// NoteLaterOwner notes that a later owner of a partition was heard of. Where the partition was
// gained in an earlier generation than the one known now, that owner may have come and
// gone between, in answers that were lost: it is gained anew at once. Else what was
// missed shows in a later generation.
func (s *Partitions) NoteLaterOwner(k int) {
	switch t, held := s.tokens[k]; {
	case !held:
	case t < s.held.Generation:
		s.tokens[k] = s.held.Generation
	default:
		s.lost[k] = s.held.Generation
	}
}

// Token returns the token of a partition, and zero for one that isn't held.
func (s *Partitions) Token(k int) int64 {
	if _, lost := s.lost[k]; lost {
		return 0
	}
	return s.tokens[k]
}

// Any reports whether any partition is held.
func (s *Partitions) Any() bool { return len(s.tokens) > len(s.lost) }

// Drop gives all partitions up.
func (s *Partitions) Drop() { s.tokens, s.lost = nil, nil }

// ConfirmedAt returns when the call was sent that confirmed the partitions last.
func (s *Partitions) ConfirmedAt() time.Time { return s.held.ConfirmedAt }
