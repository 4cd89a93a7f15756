package fleet

import (
	"slices"

	"fescuelanding/fleet/config"
	"fescuelanding/fleet/record"
)

// configure applies a change of the configuration.
func (s *State) configure(a *action, m *record.ConfigChange) *Rejection {
	if r := a.checkBasis(s.head.configOffset); r != nil {
		return r
	}
	c, err := s.config.With(m)
	if err != nil {
		return &Rejection{reason: ReasonInvalidConfig, detail: err.Error(), err: err}
	}
	if r := s.checkRemoved(c); r != nil {
		return r
	}
	s.head.configOffset = a.offset
	s.setConfig(c)
	s.withdrawMoves(a.offset)
	s.addHosts(a)
	s.assignOwners(a.offset)
	return nil
}

// checkRemoved rejects a configuration without a host that is in duty or
// between pools, or without a pool that a remaining host is in or moves to.
func (s *State) checkRemoved(c config.Config) *Rejection {
	for _, n := range s.names {
		h := s.hosts[n]
		if _, ok := c.Host(n); !ok {
			if r := checkRemovable(h); r != nil {
				return r
			}
			continue
		}
		for _, p := range []string{h.pool, h.movingTo} {
			if _, ok := c.Pool(p); !ok && p != "" {
				return reject(ReasonPoolInUse, "pool %s has or gets host %s", p, n)
			}
		}
	}
	return nil
}

// checkRemovable rejects the removal of a host that an entry may still send to,
// or that is between pools.
func checkRemovable(h Host) *Rejection {
	if h.duty == Serving || h.duty == Draining || h.movingTo != "" {
		return reject(ReasonHostInDuty, "host %s is %s, moving to %q", h.name, h.duty, h.movingTo)
	}
	return checkConfirmed(h)
}

// setConfig puts a configuration in force: its sections in the digest, its
// pools with their budgets in the counts, and no host that it lacks.
func (s *State) setConfig(c config.Config) {
	s.config = c
	s.digest.setSections(c.Sections())
	for _, n := range slices.Clone(s.names) {
		if _, ok := c.Host(n); !ok {
			s.removeHost(n)
		}
	}
	pools := make(map[string]PoolCount, len(c.Pools()))
	for _, p := range c.Pools() {
		n := s.pools[p.Name()]
		n.name, n.budget = p.Name(), p.MinAvailable()
		pools[p.Name()] = n
	}
	s.pools = pools
}

// withdrawMoves ends the intents to move hosts to pools that are gone.
func (s *State) withdrawMoves(offset uint64) {
	for _, n := range s.names {
		h := s.hosts[n]
		if _, ok := s.pools[h.intent.toPool]; ok || h.intent.toPool == "" {
			continue
		}
		h.intent.toPool, h.intent.basis = "", offset
		s.putHost(h)
	}
}

// addHosts puts hosts that are seen for the first time into their home pools.
// The period of their maintenance starts then.
func (s *State) addHosts(a *action) {
	for _, c := range s.config.Hosts() {
		if _, ok := s.hosts[c.Name()]; !ok {
			s.putHost(Host{
				name: c.Name(), pool: c.Home(), basis: a.offset, intent: Intent{basis: a.offset},
				maintainedUnixMs: a.record.GetAtUnixMs(),
			})
		}
	}
}
