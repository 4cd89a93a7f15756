package fleet

import "fescuelanding/fleet/record"

// applyStep applies a planner's step on a host. Every step carries the planner's
// term as a fencing token, so that a planner that was paused or replaced can't
// change a host.
func (s *State) applyStep(a *appliedRecord) *Rejection {
	name := hostOfStep(a.record)
	if name == "" {
		return reject(ReasonMalformed, "no body of a known kind, or no host")
	}
	if o, ok := s.owners[PlannerKey]; !ok || a.record.GetTerm() != o.term {
		return reject(ReasonStaleTerm, "term is %d, not %d", o.term, a.record.GetTerm())
	}
	h, ok := s.hosts[name]
	if !ok {
		return reject(ReasonUnknownHost, "host %s", name)
	}
	if r := a.checkBasis(h.basis); r != nil {
		return r
	}
	h, r := s.hostAfterStep(a, h)
	if r != nil {
		return r
	}
	h.basis = a.offset
	s.putHost(h)
	return nil
}

// hostAfterStep returns the host as the step leaves it.
func (s *State) hostAfterStep(a *appliedRecord, h Host) (Host, *Rejection) {
	switch b := a.record.GetBody().(type) {
	case *record.Record_HostDrain:
		return s.drain(a, h, b.HostDrain)
	case *record.Record_HostDown:
		return takeDown(h)
	case *record.Record_HostServe:
		return s.serve(a, h, b.HostServe)
	case *record.Record_HostFail:
		return s.fail(a, h), nil
	case *record.Record_HostRelease:
		return s.release(a, h, b.HostRelease)
	case *record.Record_HostAssign:
		return s.assign(a, h, b.HostAssign)
	default:
		return cancelMove(a, h)
	}
}

// hostOfStep returns the host that a planner's step is about, or "".
func hostOfStep(r *record.Record) string {
	switch b := r.GetBody().(type) {
	case *record.Record_HostDrain:
		return b.HostDrain.GetHost()
	case *record.Record_HostDown:
		return b.HostDown.GetHost()
	case *record.Record_HostServe:
		return b.HostServe.GetHost()
	case *record.Record_HostFail:
		return b.HostFail.GetHost()
	case *record.Record_HostRelease:
		return b.HostRelease.GetHost()
	case *record.Record_HostAssign:
		return b.HostAssign.GetHost()
	case *record.Record_HostKeep:
		return b.HostKeep.GetHost()
	default:
		return ""
	}
}

// drain stops new work on a serving host if the pool's budget allows it. The budget
// isn't checked for a host that the platform takes away, which is an involuntary
// loss.
func (s *State) drain(a *appliedRecord, h Host, m *record.HostDrain) (Host, *Rejection) {
	if h.duty != Serving || h.movingTo != "" {
		return h, reject(ReasonWrongState, "host %s is %s, moving to %q", h.name, h.duty, h.movingTo)
	}
	if r := s.checkCause(m); r != nil {
		return h, r
	}
	if m.GetCause() != record.Cause_CAUSE_LEAVING {
		if r := s.checkBudget(h); r != nil {
			return h, r
		}
	}
	h.duty = Draining
	h.cause, h.causeID = m.GetCause(), m.GetCauseId()
	return s.awaitConfirmations(a, h), nil
}

// checkCause rejects a drain without a cause, and a drain for a wave or recall that
// isn't open.
func (s *State) checkCause(m *record.HostDrain) *Rejection {
	switch {
	case m.GetCause() == record.Cause_CAUSE_UNSPECIFIED:
		return reject(ReasonMalformed, "a cause is needed")
	case m.GetCauseId() == "":
		return nil
	case m.GetCause() == record.Cause_CAUSE_RECALL:
		if _, ok := s.recalls[m.GetCauseId()]; !ok {
			return reject(ReasonUnknownRecall, "recall %s", m.GetCauseId())
		}
	case m.GetCause() == record.Cause_CAUSE_MAINTENANCE:
		if _, ok := s.waves[m.GetCauseId()]; !ok {
			return reject(ReasonUnknownWave, "wave %s", m.GetCauseId())
		}
	}
	return nil
}

// checkBudget rejects a voluntary step that would leave the host's pool with fewer
// available hosts than its budget.
func (s *State) checkBudget(h Host) *Rejection {
	if !h.Available() {
		return nil
	}
	if p := s.pools[h.pool]; p.available-1 < p.budget {
		return reject(ReasonBudget, "pool %s has %d available of at least %d", h.pool, p.available, p.budget)
	}
	return nil
}

// awaitConfirmations returns the host with this record as the step that the entries
// must confirm. The host waits for every entry that is registered now.
func (s *State) awaitConfirmations(a *appliedRecord, h Host) Host {
	h.step = a.offset
	h.waiting = s.entryNames()
	return h
}

// checkConfirmed returns a rejection if an entry has not yet confirmed the host's
// step.
func checkConfirmed(h Host) *Rejection {
	if len(h.waiting) > 0 {
		return reject(ReasonUnconfirmed, "host %s waits for %v", h.name, h.waiting)
	}
	return nil
}

// takeDown changes a draining host's duty to down.
func takeDown(h Host) (Host, *Rejection) {
	if h.duty != Draining {
		return h, reject(ReasonWrongState, "host %s is %s", h.name, h.duty)
	}
	if r := checkConfirmed(h); r != nil {
		return h, r
	}
	h.duty, h.step = Down, 0
	return h, nil
}

// serve returns a host to duty in its pool, and records finished maintenance or
// repair. A draining host can't have been maintained or repaired, because it has
// not been down. A move in progress keeps its step and its waiting list.
func (s *State) serve(a *appliedRecord, h Host, m *record.HostServe) (Host, *Rejection) {
	workDone := m.GetMaintained() || m.GetRepaired()
	if h.duty == Serving || workDone && h.duty == Draining {
		return h, reject(ReasonWrongState, "host %s is %s", h.name, h.duty)
	}
	if m.GetMaintained() {
		h.maintainedUnixMs, h.maintainedOffset = a.record.GetAtUnixMs(), a.offset
	}
	if m.GetRepaired() {
		c, _ := s.config.Host(h.name)
		h.repairedBatch = c.Batch()
	}
	if h.movingTo == "" {
		h.step, h.waiting = 0, nil
	}
	h.duty, h.cause, h.causeID = Serving, record.Cause_CAUSE_UNSPECIFIED, ""
	return h, nil
}

// fail records the involuntary loss of a host. A move in progress continues. If the
// host was available, the entries must confirm the loss: until then, an entry may
// still send requests to the host, so it can't be removed from the configuration
// and added again in another pool.
func (s *State) fail(a *appliedRecord, h Host) Host {
	if h.Available() {
		h = s.awaitConfirmations(a, h)
	}
	h.duty = Failed
	return h
}

// release begins a move. A draining host must first go down or return to duty, so
// that a host has only one step at a time.
func (s *State) release(a *appliedRecord, h Host, m *record.HostRelease) (Host, *Rejection) {
	if h.movingTo != "" || h.pool == m.GetToPool() {
		return h, reject(ReasonSecondPool, "host %s is in %s, moving to %q", h.name, h.pool, h.movingTo)
	}
	if _, ok := s.config.Pool(m.GetToPool()); !ok {
		return h, reject(ReasonUnknownPool, "pool %s", m.GetToPool())
	}
	if h.duty == Draining {
		return h, reject(ReasonWrongState, "host %s is %s", h.name, h.duty)
	}
	if r := s.checkBudget(h); r != nil {
		return h, r
	}
	h.movingTo = m.GetToPool()
	return s.awaitConfirmations(a, h), nil
}

// assign completes a move: the host changes its pool at this offset.
func (s *State) assign(a *appliedRecord, h Host, m *record.HostAssign) (Host, *Rejection) {
	if h.movingTo == "" || h.movingTo != m.GetToPool() {
		return h, reject(ReasonSecondPool, "host %s is in %s, moving to %q", h.name, h.pool, h.movingTo)
	}
	if r := checkConfirmed(h); r != nil {
		return h, r
	}
	h.pool, h.movingTo, h.step = h.movingTo, "", 0
	return h.withReachedIntentCleared(a.offset), nil
}

// cancelMove cancels a move; the host stays in its pool.
func cancelMove(a *appliedRecord, h Host) (Host, *Rejection) {
	if h.movingTo == "" {
		return h, reject(ReasonWrongState, "host %s isn't moving", h.name)
	}
	h.movingTo, h.step, h.waiting = "", 0, nil
	return h.withReachedIntentCleared(a.offset), nil
}

// confirm records that an entry has no requests in flight on some hosts. It skips
// steps that don't wait for the entry. If no step waits for it, the record is
// rejected.
func (s *State) confirm(m *record.Confirm) *Rejection {
	e, ok := s.entries[m.GetEntry()]
	if !ok || e.incarnation != m.GetIncarnation() {
		return reject(ReasonUnknownEntry, "entry %s with incarnation %d", m.GetEntry(), m.GetIncarnation())
	}
	n := 0
	for _, r := range m.GetSteps() {
		h, ok := s.hosts[r.GetHost()]
		if !ok || h.step == 0 || h.step != r.GetOffset() || h.Confirmed(e.name) {
			continue
		}
		s.putHost(h.withConfirmation(e.name))
		n++
	}
	if n == 0 {
		return reject(ReasonStaleStep, "no step waits for entry %s", e.name)
	}
	return nil
}

// confirmAll removes an entry whose process has ended from the waiting lists of all
// hosts.
func (s *State) confirmAll(entry string) {
	for _, n := range s.names {
		if h := s.hosts[n]; !h.Confirmed(entry) {
			s.putHost(h.withConfirmation(entry))
		}
	}
}
