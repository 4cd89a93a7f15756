package node

import (
	"slices"

	"fescuelanding/entry/internal/group"
)

// shares are the partitions that the group deals to this entry, each with its
// token: the generation in which it was gained, as no two entries gain a partition
// in one generation. The zero value holds none.
type shares struct {
	tokens map[int]int64
	// lost are partitions that the group deals here, though a later owner was
	// heard of, with the generation known then. In a later one they are gained
	// anew.
	lost map[int]int64
	held group.Change
}

// deal takes in what the group deals, and reports whether that has changed.
func (s *shares) deal(c group.Change) bool {
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

// lose notes that a later owner of a partition was heard of.
func (s *shares) lose(k int) {
	if _, held := s.tokens[k]; held {
		s.lost[k] = s.held.Generation
	}
}

// token returns the token of a partition, and zero for one that isn't held.
func (s *shares) token(k int) int64 {
	if _, lost := s.lost[k]; lost {
		return 0
	}
	return s.tokens[k]
}

// any reports whether any partition is held.
func (s *shares) any() bool { return len(s.tokens) > len(s.lost) }

// drop gives all partitions up.
func (s *shares) drop() { s.tokens, s.lost = nil, nil }
