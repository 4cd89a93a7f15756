package fleet

import "fescuelanding/fleet/record"

// _maxIDSize is the maximum length of a record's id, in bytes.
const _maxIDSize = 16

// appliedRecord is the record being applied, with its offset.
type appliedRecord struct {
	offset uint64
	record *record.Record
}

// checkBasis rejects a record whose writer had not seen the object's current
// version.
func (a *appliedRecord) checkBasis(basis uint64) *Rejection {
	if a.record.GetBasis() != basis {
		return reject(ReasonStaleBasis, "basis is %d, not %d", basis, a.record.GetBasis())
	}
	return nil
}

// Apply applies the record at an offset, which must be greater than the last
// applied offset. It returns nil if the record took effect, a *Rejection if a
// guard rejected it, a *DigestMismatch if a checkpoint's digest differs from this
// state's, and an *OffsetError if the offset was applied before. The caller must
// not modify the record afterwards.
func (s *State) Apply(offset uint64, r *record.Record) error {
	if offset <= s.offset {
		return &OffsetError{offset: offset, last: s.offset}
	}
	a := &appliedRecord{offset: offset, record: r}
	err := s.applyOnce(a)
	s.offset = offset
	s.digest.setHead(s.head)
	s.digest.mark(offset)
	return err
}

// applyOnce applies a record unless its id is in the window of recent ids. It
// converts a nil *Rejection to a nil error.
func (s *State) applyOnce(a *appliedRecord) error {
	id := a.record.GetId()
	if len(id) > _maxIDSize {
		return reject(ReasonMalformed, "id has %d bytes, more than %d", len(id), _maxIDSize)
	}
	if s.ids.has(id) {
		return reject(ReasonDuplicate, "applied before")
	}
	s.digest.xor(s.ids.push(id))
	if c := a.record.GetCheckpoint(); c != nil {
		return s.applyCheckpoint(a, c)
	}
	if r := s.dispatch(a); r != nil {
		return r
	}
	return nil
}

// dispatch calls the handler for the record's body.
func (s *State) dispatch(a *appliedRecord) *Rejection {
	switch b := a.record.GetBody().(type) {
	case *record.Record_ConfigChange:
		return s.changeConfig(a, b.ConfigChange)
	case *record.Record_EntryRegister:
		return s.register(a, b.EntryRegister)
	case *record.Record_EntryUnregister:
		return s.unregister(a, b.EntryUnregister)
	case *record.Record_EntryLeaving:
		return s.leave(a, b.EntryLeaving)
	case *record.Record_EntrySuspect:
		return s.suspect(a, b.EntrySuspect)
	case *record.Record_EntryAlive:
		return s.clearSuspicion(a, b.EntryAlive)
	case *record.Record_Confirm:
		return s.confirm(b.Confirm)
	case *record.Record_DrainIntent:
		return s.setDrainIntent(a, b.DrainIntent)
	case *record.Record_MoveIntent:
		return s.setMoveIntent(a, b.MoveIntent)
	case *record.Record_RecallStart:
		return s.startRecall(a, b.RecallStart)
	case *record.Record_RecallCancel:
		return s.cancelRecall(a, b.RecallCancel)
	case *record.Record_WaveStart:
		return s.startWave(a, b.WaveStart)
	case *record.Record_WaveCancel:
		return s.cancelWave(a, b.WaveCancel)
	default:
		return s.applyStep(a)
	}
}

// Basis returns the current basis of the object that the record's body is about.
// A record with this basis is rejected as stale if the object changes before the
// record is applied. Basis returns 0 for bodies that need no basis.
func (s *State) Basis(r *record.Record) uint64 {
	switch b := r.GetBody().(type) {
	case *record.Record_ConfigChange:
		return s.head.configOffset
	case *record.Record_EntryRegister:
		return s.entryBasis(b.EntryRegister.GetEntry())
	case *record.Record_EntryUnregister:
		return s.entryBasis(b.EntryUnregister.GetEntry())
	case *record.Record_EntryLeaving:
		return s.entryBasis(b.EntryLeaving.GetEntry())
	case *record.Record_EntrySuspect:
		return s.entryBasis(b.EntrySuspect.GetEntry())
	case *record.Record_EntryAlive:
		return s.entryBasis(b.EntryAlive.GetEntry())
	case *record.Record_DrainIntent:
		return s.hosts[b.DrainIntent.GetHost()].intent.basis
	case *record.Record_MoveIntent:
		return s.hosts[b.MoveIntent.GetHost()].intent.basis
	case *record.Record_RecallStart:
		return s.recallBasis(b.RecallStart.GetRecall())
	case *record.Record_RecallCancel:
		return s.recallBasis(b.RecallCancel.GetRecall())
	case *record.Record_WaveStart:
		return s.waveBasis(b.WaveStart.GetWave())
	case *record.Record_WaveCancel:
		return s.waveBasis(b.WaveCancel.GetWave())
	default:
		return s.hosts[hostOfStep(r)].basis
	}
}
