package fleet

import (
	"slices"

	"fescuelanding/fleet/config"
	"fescuelanding/fleet/record"
)

// changeConfig replaces the configuration if no guard forbids it.
func (s *State) changeConfig(a *appliedRecord, m *record.ConfigChange) *Rejection {
	if r := a.checkBasis(s.head.configOffset); r != nil {
		return r
	}
	c, err := s.config.With(m)
	if err != nil {
		return &Rejection{reason: ReasonInvalidConfig, detail: err.Error(), err: err}
	}
	removed := s.config.Diff(c).GetRemoved()
	if r := s.checkHostsRemoved(removed); r != nil {
		return r
	}
	pools := namesOf(removed, config.KindPool)
	if r := s.checkPoolsRemoved(c, pools); r != nil {
		return r
	}
	s.head.configOffset = a.offset
	s.setConfig(c, a.offset, a.record.GetAtUnixMs())
	s.clearMoveIntents(pools, a.offset)
	s.assignOwners(a.offset)
	return nil
}

// namesOf returns the names of the sections of a kind.
func namesOf(all []*record.SectionRef, kind string) []string {
	var names []string
	for _, r := range all {
		if r.GetKind() == kind {
			names = append(names, r.GetName())
		}
	}
	return names
}

// checkHostsRemoved rejects the removal of a host that an entry may still send
// requests to, or that is being moved.
func (s *State) checkHostsRemoved(removed []*record.SectionRef) *Rejection {
	for _, n := range namesOf(removed, config.KindHost) {
		h := s.hosts[n]
		if h.duty == Serving || h.duty == Draining || h.movingTo != "" {
			return reject(ReasonHostInDuty, "host %s is %s, moving to %q", n, h.duty, h.movingTo)
		}
		if r := checkConfirmed(h); r != nil {
			return r
		}
	}
	return nil
}

// checkPoolsRemoved rejects the removal of a pool that a remaining host is in or
// is being moved to.
func (s *State) checkPoolsRemoved(c config.Config, pools []string) *Rejection {
	if len(pools) == 0 {
		return nil
	}
	for _, n := range s.names {
		h := s.hosts[n]
		if _, ok := c.Host(n); !ok {
			continue
		}
		if slices.Contains(pools, h.pool) || slices.Contains(pools, h.movingTo) {
			return reject(ReasonPoolInUse, "host %s is in %s, moving to %q", n, h.pool, h.movingTo)
		}
	}
	return nil
}

// setConfig replaces the configuration. It updates the digest of the sections and
// the pools' budgets, removes the hosts that are no longer configured, and puts
// new hosts into their home pools. The maintenance period of a new host starts at
// atUnixMs. Unchanged sections cost only a comparison.
func (s *State) setConfig(c config.Config, offset uint64, atUnixMs int64) {
	change, reverse := s.config.Diff(c), c.Diff(s.config)
	s.digest.changeSections(reverse.GetSet(), change.GetSet())
	for _, n := range namesOf(change.GetRemoved(), config.KindHost) {
		s.removeHost(n)
	}
	s.config = c
	s.setBudgets()
	for _, m := range change.GetSet() {
		if _, known := s.hosts[m.GetName()]; m.GetKind() == config.KindHost && !known {
			h, _ := c.Host(m.GetName())
			s.putHost(Host{
				name: h.Name(), pool: h.Home(), basis: offset, intent: Intent{basis: offset}, maintainedUnixMs: atUnixMs,
			})
		}
	}
}

// setBudgets updates the pools and their budgets from the configuration and keeps
// the counts of hosts.
func (s *State) setBudgets() {
	all := s.config.Pools()
	pools := make(map[string]PoolCount, len(all))
	for _, p := range all {
		n := s.pools[p.Name()]
		n.name, n.budget = p.Name(), p.MinAvailable()
		pools[p.Name()] = n
	}
	s.pools = pools
}

// clearMoveIntents clears the intents to move hosts to removed pools.
func (s *State) clearMoveIntents(pools []string, offset uint64) {
	if len(pools) == 0 {
		return
	}
	for _, n := range s.names {
		h := s.hosts[n]
		if h.intent.toPool != "" && slices.Contains(pools, h.intent.toPool) {
			h.intent.toPool, h.intent.basis = "", offset
			s.putHost(h)
		}
	}
}
