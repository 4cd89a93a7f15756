package fleet

import (
	"slices"

	"fescuelanding/fleet/config"
	"fescuelanding/fleet/record"
)

// changeConfig applies a change of the configuration.
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
	s.withdrawMoves(pools, a.offset)
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
// to, or that is between pools.
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
// moves to.
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

// setConfig puts a configuration in force: its sections in the digest, its
// pools with their budgets in the counts, no host that it lacks, and hosts that
// are seen for the first time in their home pools, where the period of their
// maintenance starts. What didn't change costs nothing but a comparison.
func (s *State) setConfig(c config.Config, offset uint64, atUnixMs int64) {
	change, undo := s.config.Diff(c), c.Diff(s.config)
	s.digest.changeSections(undo.GetSet(), change.GetSet())
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

// setBudgets brings the pools and their budgets up to the configuration.
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

// withdrawMoves ends the intents to move hosts to pools that are gone.
func (s *State) withdrawMoves(pools []string, offset uint64) {
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
