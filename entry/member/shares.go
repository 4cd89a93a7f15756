// Package member tracks the partitions that are assigned to an entry, and the fencing
// token under which the entry holds each of them. It has no clock and no network.
//
// The entries form a group in the platform's store, which divides a fixed set of
// numbered partitions among them. A partition stands for the pools or the planning
// that one entry at a time is responsible for. An entry joins the group every
// JoinInterval and passes each answer to Assign. It holds a partition while Token
// returns a value other than zero:
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
	// ConfirmedAt is the time at which the entry sent the join that returned the
	// assignment. It is no later than the time from which the store counts TTL.
	ConfirmedAt time.Time
}

// Partitions are the partitions that the group assigns to this entry, each with its
// fencing token. The token is the generation in which the partition was gained; it
// is unique, as no two entries gain a partition in the same generation. The zero
// value holds none.
type Partitions struct {
	tokens map[int]int64
	// superseded are the assigned partitions that aren't held, as this entry has
	// learnt of a later owner. The value is the generation known at that time. An
	// assignment with a later generation gives the partition a new token.
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
		generation, superseded := p.superseded[k]
		if _, held := p.tokens[k]; !held || superseded && a.Generation > generation {
			p.tokens[k] = a.Generation
			delete(p.superseded, k)
		}
	}
	changed := !slices.Equal(a.Partitions, p.current.Partitions)
	p.current = a
	return changed
}

// NoteLaterOwner records that another entry has owned a partition after this one.
//
// If this entry gained the partition before the current generation, the other owner
// may have gained and released it since, and this entry may have missed the answers
// that said so. The current assignment then applies, and its generation becomes the
// new token at once.
//
// If this entry gained the partition in the current generation, the other owner
// gained it in a later one, which this entry hasn't received yet. The partition then
// isn't held until a later generation assigns it again.
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

// Drop removes all partitions of this entry. It doesn't inform the group.
func (p *Partitions) Drop() { p.tokens, p.superseded = nil, nil }

// ConfirmedAt returns the ConfirmedAt of the last assignment.
func (p *Partitions) ConfirmedAt() time.Time { return p.current.ConfirmedAt }

// Generation returns the generation of the last assignment.
func (p *Partitions) Generation() int64 { return p.current.Generation }
