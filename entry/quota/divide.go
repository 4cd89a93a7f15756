package quota

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// claim is a pool's part in the division of a limit.
type claim struct {
	pool *pool
	Use
	// due is what the pool should be able to have running, share what it may have while
	// other pools have more than that running.
	due, share Amount
	// unmet is set if there wasn't room for all that waits.
	unmet bool
}

// need returns what the pool would have running if nothing held it back.
func (c *claim) need() Amount { return Sum(c.Running, c.Waiting) }

// Divide computes the share of each pool from the last reports.
func (g *Giver) Divide() {
	g.targets = make(map[string]map[string]Share, len(g.names))
	for _, n := range g.names {
		g.targets[n] = make(map[string]Share, len(g.limits))
	}
	for _, w := range slices.Sorted(maps.Keys(g.limits)) {
		l := g.limits[w]
		claims := g.claims(w)
		left := l
		for _, p := range g.pools {
			if !p.removedAt.IsZero() {
				left = Less(left, p.charge(w))
			}
		}
		left = Larger(left, Amount{})
		spread(claims, allot(claims, left))
		restrain(claims, left)
		for _, c := range claims {
			g.targets[c.pool.name][w] = Share{c.share, reach(claims, c, left)}
		}
	}
}

// claims returns the claims to a limit. Those whose tasks have waited longest without room
// for one come first, so that small tasks elsewhere don't hold up a large one for ever.
func (g *Giver) claims(workspace string) []*claim {
	var l []*claim
	for _, n := range g.names {
		p := g.pools[n]
		l = append(l, &claim{pool: p, Use: p.demand(workspace)})
	}
	since := func(c *claim) time.Time { return c.pool.hungrySince[workspace] }
	slices.SortStableFunc(l, func(a, b *claim) int {
		if x, y := since(a), since(b); !x.Equal(y) {
			if x.IsZero() || y.IsZero() {
				return cmp.Compare(zeroLast(x), zeroLast(y))
			}
			return x.Compare(y)
		}
		return strings.Compare(a.pool.name, b.pool.name)
	})
	return l
}

// zeroLast orders zero times after others.
func zeroLast(t time.Time) int {
	if t.IsZero() {
		return 1
	}
	return 0
}

// allot sets what is due to each pool, and returns what is left then. Pools where nothing
// waits get what runs; the others take whole units in turn, so that none gets a part of a
// task instead of another's whole.
func allot(claims []*claim, left Amount) Amount {
	take := func(c *claim, a Amount) {
		c.due, left = Sum(c.due, a), Less(left, a)
	}
	for _, c := range claims {
		a := c.Running
		if c.Waiting != (Amount{}) {
			// The resources that the waiting tasks request are given below.
			a = combine(a, c.Unit, func(x, u int64) int64 {
				if u > 0 {
					return 0
				}
				return x
			})
		}
		take(c, Smaller(a, left))
	}
	for again := true; again; {
		again = false
		for _, c := range claims {
			if c.Waiting == (Amount{}) || c.unmet {
				continue
			}
			rest := Larger(Less(c.need(), c.due), Amount{})
			n, _ := Times(rest, c.Unit)
			a := Smaller(rest, Scale(c.Unit, max(1, n/_turnPart)))
			if !fits(a, a, left) {
				a = Smaller(rest, c.Unit)
			}
			if a == (Amount{}) {
				continue
			}
			if !fits(a, a, left) {
				c.unmet = true
				continue
			}
			take(c, a)
			again = true
		}
	}
	return left
}

// _turnPart is the part of its remaining units that a pool takes in its turn. It bounds the
// number of turns of a division.
const _turnPart = 4

// spread adds what is left to what is due: to the first pool that wants more, which can use
// it for smaller tasks, or else evenly, so that tasks which come can start at once.
func spread(claims []*claim, left Amount) {
	if i := slices.IndexFunc(claims, func(c *claim) bool { return c.unmet }); i >= 0 {
		claims[i].due = Sum(claims[i].due, left)
		return
	}
	n := int64(len(claims))
	for _, c := range claims {
		c.due = Sum(c.due, combine(left, left, func(x, _ int64) int64 { return x / n }))
	}
}

// restrain sets the shares so that their sum stays within the limit while some pools have
// more running than is due to them. What waits goes first. If more runs than the limit,
// nothing may start.
func restrain(claims []*claim, limit Amount) {
	free := limit
	for _, c := range claims {
		free = Less(free, c.Running)
	}
	over := free
	for _, c := range claims {
		c.share = Smaller(c.due, c.Running)
	}
	for _, of := range []func(*claim) Amount{(*claim).need, func(c *claim) Amount { return c.due }} {
		for _, c := range claims {
			a := Less(Smaller(c.due, of(c)), Larger(c.share, c.Running))
			a = Larger(Smaller(a, free), Amount{})
			free = Less(free, a)
			c.share = Sum(c.share, a)
		}
	}
	for _, c := range claims {
		c.share = combine(c.share, over, func(s, f int64) int64 {
			if f < 0 {
				return 0
			}
			return s
		})
	}
}

// reach returns what a pool could get if it asked for all that the others don't use.
func reach(claims []*claim, of *claim, limit Amount) Amount {
	a := limit
	for _, c := range claims {
		if c != of {
			a = Less(a, Smaller(c.due, c.need()))
		}
	}
	return Larger(a, of.due)
}
