package fleet

import "fescuelanding/fleet/record"

// setDrainIntent stores whether operators want a host out of duty.
func (s *State) setDrainIntent(a *appliedRecord, m *record.DrainIntent) *Rejection {
	h, r := s.hostForIntent(a, m.GetHost())
	if r != nil {
		return r
	}
	h.intent.drain = m.GetDrain()
	s.putHost(h)
	return nil
}

// setMoveIntent stores the pool that operators want a host to be in.
func (s *State) setMoveIntent(a *appliedRecord, m *record.MoveIntent) *Rejection {
	h, r := s.hostForIntent(a, m.GetHost())
	if r != nil {
		return r
	}
	if _, ok := s.config.Pool(m.GetToPool()); !ok && m.GetToPool() != "" {
		return reject(ReasonUnknownPool, "pool %s", m.GetToPool())
	}
	h.intent.toPool = m.GetToPool()
	s.putHost(h.withReachedIntentCleared(a.offset))
	return nil
}

// hostForIntent checks the basis of an intent and returns the host that it is
// about, with the basis for the next intent.
func (s *State) hostForIntent(a *appliedRecord, name string) (Host, *Rejection) {
	h, ok := s.hosts[name]
	if !ok {
		return Host{}, reject(ReasonUnknownHost, "host %s", name)
	}
	if r := a.checkBasis(h.intent.basis); r != nil {
		return Host{}, r
	}
	h.intent.basis = a.offset
	return h, nil
}

// withReachedIntentCleared returns the host without its move intent if the host is
// in the intended pool and isn't being moved. The intent then doesn't conflict with
// a later move to another pool and isn't carried out again.
func (h Host) withReachedIntentCleared(offset uint64) Host {
	if h.intent.toPool != "" && h.intent.toPool == h.pool && h.movingTo == "" {
		h.intent.toPool, h.intent.basis = "", offset
	}
	return h
}
