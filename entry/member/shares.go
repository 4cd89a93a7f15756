// Package member tracks the partitions that the store's group assigns to an entry,
// and the fencing token under which the entry holds each of them. It has no clock
// and no network.
//
// An entry joins the group every JoinInterval and passes each answer to Assign. It
// holds a partition while Token returns a value other than zero:
//
//	var p member.Partitions
//	p.Assign(member.Assignment{Generation: 7, Partitions: []int{2}, ConfirmedAt: sent})
//	token := p.Token(2)
package member

import (
	"slices"
	"time"
)

// Assignment is what the group assigns to an entry.
type Assignment struct {
	// Generation rises with each change of the group.
	Generation int64
	Partitions []int
	// ConfirmedAt is when the call was sent whose answer confirmed the assignment.
	ConfirmedAt time.Time
}

// Partitions are the partitions that the group assigns to this entry, each with its
// fencing token. The token is the generation in which the partition was gained; it
// is unique, as no two entries gain a partition in the same generation. The zero
// value holds none.
type Partitions struct {
	tokens map[int]int64
	// superseded are partitions that the group assigns to this entry although it has
	// learnt of a later owner, with the generation known then. A later generation
	// gives them a new token.
	superseded map[int]int64
	current    Assignment
}

// Assign processes an assignment and reports whether its partitions differ from
// those of the previous one.
func (p *Partitions) Assign(a Assignment) bool {
	if p.tokens == nil {
		p.tokens, p.superseded = make(map[int]int64), make(map[int]int64)
	}
	for k := range p.tokens {
		if !slices.Contains(a.Partitions, k) {
			delete(p.tokens, k)
			delete(p.superseded, k)
		}
	}
	for _, k := range a.Partitions {
		at, superseded := p.superseded[k]
		if _, held := p.tokens[k]; !held || superseded && a.Generation > at {
			p.tokens[k] = a.Generation
			delete(p.superseded, k)
		}
	}
	changed := !slices.Equal(a.Partitions, p.current.Partitions)
	p.current = a
	return changed
}

// NoteLaterOwner records that this entry has learnt of a later owner of a partition.
// If the partition was gained before the current generation, that owner may have
// gained and released it again while answers to this entry were lost. The partition
// then gets the current generation as its new token at once. Otherwise it is not
// held until a later generation assigns it again.
func (p *Partitions) NoteLaterOwner(k int) {
	switch t, held := p.tokens[k]; {
	case !held:
	case t < p.current.Generation:
		p.tokens[k] = p.current.Generation
	default:
		p.superseded[k] = p.current.Generation
	}
}

// Token returns the fencing token of a partition, or zero if it isn't held.
func (p *Partitions) Token(k int) int64 {
	if _, superseded := p.superseded[k]; superseded {
		return 0
	}
	return p.tokens[k]
}

// Any reports whether any partition is held.
func (p *Partitions) Any() bool { return len(p.tokens) > len(p.superseded) }

// Drop releases all partitions.
func (p *Partitions) Drop() { p.tokens, p.superseded = nil, nil }

// ConfirmedAt returns when the call was sent whose answer last confirmed the
// partitions.
func (p *Partitions) ConfirmedAt() time.Time { return p.current.ConfirmedAt }
