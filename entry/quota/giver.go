package quota

import (
	"maps"
	"slices"
	"time"

	"fescuelanding/platform"
)

// _removedPoolTime is how long the runs of a pool that was removed still count. Their leases
// have lapsed by then on the slowest clock.
const _removedPoolTime = 15 * time.Second

// Giver divides the limits of workspaces among the pools. Its zero value knows no pool.
type Giver struct {
	limits map[string]Amount
	pools  map[string]*pool
	// names are the pools of the configuration, in the order of their names.
	names []string
	// targets has the share that each pool should have, by pool and workspace.
	targets map[string]map[string]Share
}

// pool is what the giver knows of a pool.
type pool struct {
	name string
	// removedAt is when the configuration ceased to have the pool; zero if it has it.
	removedAt time.Time
	// owner and report name the last report; zero before the first.
	owner, report int64
	// unanswered is set while a grant has no answer.
	unanswered bool
	// granted has the largest share that the owner may hold, by workspace.
	granted map[string]Amount
	use     map[string]Use
	// holdsAny is set if the owner has a share of any workspace.
	holdsAny bool
	// hungrySince is since when tasks of a workspace have waited without room in the share
	// for one of them.
	hungrySince map[string]time.Time
}

// charge returns what the pool may have running of a workspace until its next report.
func (p *pool) charge(workspace string) Amount {
	return Larger(p.granted[workspace], p.use[workspace].Running)
}

// demand returns what the division counts with: while the pool doesn't answer, all that it
// may have running, and nothing that waits.
func (p *pool) demand(workspace string) Use {
	if p.unanswered || !p.removedAt.IsZero() {
		return Use{Running: p.charge(workspace)}
	}
	return p.use[workspace]
}

// hungry reports whether tasks of a workspace wait and the share has no room for the
// largest.
func (p *pool) hungry(workspace string) bool {
	u := p.use[workspace]
	return u.Waiting != (Amount{}) && !fits(Sum(u.Running, u.Unit), u.Unit, p.granted[workspace])
}

// forget drops what is kept of workspaces that have no limit.
func (p *pool) forget(limits map[string]Amount) {
	has := func(w string) bool {
		_, ok := limits[w]
		return ok
	}
	maps.DeleteFunc(p.granted, func(w string, _ Amount) bool { return !has(w) })
	maps.DeleteFunc(p.hungrySince, func(w string, _ time.Time) bool { return !has(w) })
}

// Configure replaces the workspaces and the names of the pools.
func (g *Giver) Configure(now time.Time, workspaces []platform.Workspace, pools []string) {
	if g.pools == nil {
		g.pools = make(map[string]*pool)
	}
	g.limits = limits(workspaces)
	g.names = slices.Sorted(slices.Values(pools))
	for _, n := range g.names {
		if p := g.pools[n]; p == nil {
			g.pools[n] = &pool{name: n, granted: make(map[string]Amount), hungrySince: make(map[string]time.Time)}
		} else {
			p.removedAt = time.Time{}
		}
	}
	for n, p := range g.pools {
		switch {
		case slices.Contains(g.names, n):
		case p.removedAt.IsZero():
			p.removedAt = now
		case now.Sub(p.removedAt) > _removedPoolTime:
			delete(g.pools, n)
		}
	}
	for _, p := range g.pools {
		p.forget(g.limits)
	}
}

// Complete reports whether all pools have reported, so that the giver knows all shares.
func (g *Giver) Complete() bool {
	return !slices.ContainsFunc(g.names, func(n string) bool { return g.pools[n].owner == 0 })
}

// Grant returns the shares for a pool, and charges the pool with them from now on. It is
// zero before the pool's first report, and where no workspace has a limit or a share.
func (g *Giver) Grant(name string) Grant {
	p := g.pools[name]
	if p == nil || p.owner == 0 || len(g.limits) == 0 && !p.holdsAny {
		return Grant{}
	}
	out := Grant{Owner: p.owner, Report: p.report, Shares: make(map[string]Share)}
	for w := range g.limits {
		s := g.share(p, w)
		out.Shares[w] = s
		p.granted[w] = Larger(p.granted[w], s.Amount)
	}
	return out
}

// share returns the share of a workspace that a pool may be given now.
func (g *Giver) share(p *pool, workspace string) Share {
	l, held := g.limits[workspace], p.charge(workspace)
	s := g.targets[p.name][workspace]
	if !g.Complete() {
		// The shares of the other pools are unknown, so none may rise.
		s = Share{Smaller(p.granted[workspace], l), held}
	}
	// A share rises only as far as the charges of all pools leave room.
	room := Larger(g.room(workspace), Amount{})
	s.Amount = Smaller(s.Amount, Larger(p.granted[workspace], Sum(held, room)))
	return Share{open(s.Amount, l), open(s.Reach, l)}
}

// room returns what a limit leaves beside the charges of all pools. It is negative if the
// limit was lowered below them.
func (g *Giver) room(workspace string) Amount {
	a := g.limits[workspace]
	for _, p := range g.pools {
		a = Less(a, p.charge(workspace))
	}
	return a
}

// Unanswered notes that the owner of a pool didn't answer. The pool stays charged with what
// it may hold.
func (g *Giver) Unanswered(name string) {
	if p := g.pools[name]; p != nil {
		p.unanswered = true
	}
}

// Reported takes the report with which a pool's owner has answered the last call, and so
// all grants sent to it before.
func (g *Giver) Reported(now time.Time, name string, r Report) {
	p := g.pools[name]
	if p == nil || r.Owner == 0 || r.Owner < p.owner || r.Owner == p.owner && r.Number <= p.report {
		return
	}
	// What a former owner may have started counts as running in the report.
	p.owner, p.report, p.unanswered = r.Owner, r.Number, false
	p.granted, p.use, p.holdsAny = maps.Clone(r.Shares), r.Use, len(r.Shares) > 0
	if p.granted == nil {
		p.granted = make(map[string]Amount)
	}
	p.forget(g.limits)
	for w := range g.limits {
		switch {
		case !p.hungry(w):
			delete(p.hungrySince, w)
		case p.hungrySince[w].IsZero():
			p.hungrySince[w] = now
		}
	}
}

// Pressing reports whether tasks wait for a share that another exchange would bring nearer.
// It is false while a pool doesn't answer, as each exchange waits for it.
func (g *Giver) Pressing() bool {
	if !g.Complete() || slices.ContainsFunc(g.names, func(n string) bool { return g.pools[n].unanswered }) {
		return false
	}
	for _, n := range g.names {
		p := g.pools[n]
		for w := range g.limits {
			u := p.use[w]
			if u.Waiting == (Amount{}) || fits(Sum(u.Running, u.Waiting), u.Waiting, p.granted[w]) {
				continue
			}
			// The least that is above the share and of use.
			k, _ := Times(Less(p.granted[w], u.Running), u.Unit)
			if fits(Sum(u.Running, Scale(u.Unit, k+1)), u.Unit, g.targets[n][w].Amount) {
				return true
			}
		}
	}
	return false
}

// Status is the state of a workspace over all pools.
type Status struct {
	Workspace string
	// Limit has Unlimited for what has no limit.
	Limit            Amount
	Running, Waiting Amount
	// Shares is the sum of the pools' shares, or of what runs where that is more.
	Shares Amount
	// Hungry is set if tasks wait in some pool whose share has no room for the largest.
	Hungry bool
}

// Statuses returns the state of each workspace with a limit, in the order of their names.
func (g *Giver) Statuses() []Status {
	var l []Status
	for _, w := range slices.Sorted(maps.Keys(g.limits)) {
		s := Status{Workspace: w, Limit: g.limits[w]}
		for _, p := range g.pools {
			s.Running = Sum(s.Running, p.use[w].Running)
			s.Waiting = Sum(s.Waiting, p.use[w].Waiting)
			s.Shares = Sum(s.Shares, p.charge(w))
			s.Hungry = s.Hungry || p.hungry(w)
		}
		s.Shares = open(s.Shares, s.Limit)
		l = append(l, s)
	}
	return l
}
