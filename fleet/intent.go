package fleet

import "fescuelanding/fleet/record"

// setDrainIntent notes whether operators want a host out of duty.
func (s *State) setDrainIntent(a *appliedRecord, m *record.DrainIntent) *Rejection {
	h, r := s.hostForIntent(a, m.GetHost())
	if r != nil {
		return r
	}
	h.intent.drain = m.GetDrain()
	s.putHost(h)
	return nil
}

// setMoveIntent notes which pool operators want a host to be in.
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

// hostForIntent returns the host that an intent is about, after the check of its
// basis, with the basis of the next intent.
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

// withReachedIntentCleared ends the intent to move a host that is in the intended pool to stay.
// A later move to elsewhere is then no breach of the operators' word, and the
// intent isn't carried out again.
func (h Host) withReachedIntentCleared(offset uint64) Host {
	if h.intent.toPool != "" && h.intent.toPool == h.pool && h.movingTo == "" {
		h.intent.toPool, h.intent.basis = "", offset
	}
	return h
}
