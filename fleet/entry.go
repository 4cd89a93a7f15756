package fleet

import (
	"slices"

	"fescuelanding/fleet/record"
)

// Entry is a registered process of an entry. It is a copy and doesn't change.
type Entry struct {
	name         string
	incarnation  uint64
	dataCentre   string
	peerAddress  string
	adminAddress string
	leaving      bool
	suspect      bool
	registered   uint64
	basis        uint64
	hash         uint64
}

// Name returns the entry's name.
func (e Entry) Name() string { return e.name }

// Incarnation returns the number of its process.
func (e Entry) Incarnation() uint64 { return e.incarnation }

// DataCentre returns the name of its data centre.
func (e Entry) DataCentre() string { return e.dataCentre }

// PeerAddress returns the address that peers dial, as IP:port.
func (e Entry) PeerAddress() string { return e.peerAddress }

// AdminAddress returns the address of its status page, as IP:port.
func (e Entry) AdminAddress() string { return e.adminAddress }

// Leaving reports whether its graceful shutdown began.
func (e Entry) Leaving() bool { return e.leaving }

// Suspect reports whether it is suspected to be silent.
func (e Entry) Suspect() bool { return e.suspect }

// Registered returns the offset of its registration.
func (e Entry) Registered() uint64 { return e.registered }

// Basis returns the offset of the last accepted record about the entry.
func (e Entry) Basis() uint64 { return e.basis }

// eligible reports whether the entry may own keys.
func (e Entry) eligible() bool { return !e.leaving && !e.suspect }

// register announces a process. A process whose predecessor is registered with
// the same address has taken that address from it, so the predecessor has ended;
// with another address it may be paused and still hold requests.
func (s *State) register(a *appliedRecord, m *record.EntryRegister) *Rejection {
	if m.GetEntry() == "" || m.GetIncarnation() == 0 || m.GetPeerAddress() == "" {
		return reject(ReasonMalformed, "entry, incarnation and peer address are needed")
	}
	if r := a.checkBasis(s.entryBasis(m.GetEntry())); r != nil {
		return r
	}
	old, known := s.entries[m.GetEntry()]
	if known && old.peerAddress != m.GetPeerAddress() {
		return reject(ReasonEntryTaken, "entry %s is registered at %s", old.name, old.peerAddress)
	}
	s.confirmAll(m.GetEntry())
	s.putEntry(Entry{
		name:         m.GetEntry(),
		incarnation:  m.GetIncarnation(),
		dataCentre:   m.GetDataCentre(),
		peerAddress:  m.GetPeerAddress(),
		adminAddress: m.GetAdminAddress(),
		registered:   a.offset,
		basis:        a.offset,
	})
	s.assignOwners(a.offset)
	return nil
}

// unregister ends the registration of a process.
func (s *State) unregister(a *appliedRecord, m *record.EntryUnregister) *Rejection {
	e, r := s.registeredProcess(a, m.GetEntry(), m.GetIncarnation())
	if r != nil {
		return r
	}
	switch m.GetCause() {
	case record.UnregisterCause_UNREGISTER_CAUSE_LEFT:
		if a.record.GetWriter() != e.name {
			return reject(ReasonUnknownEntry, "only entry %s says that it left", e.name)
		}
	case record.UnregisterCause_UNREGISTER_CAUSE_LOST:
		if r := s.checkMaySuspect(a.record.GetWriter(), e.name); r != nil {
			return r
		}
		if !e.suspect {
			return reject(ReasonWrongState, "entry %s is not suspected", e.name)
		}
	case record.UnregisterCause_UNREGISTER_CAUSE_OPERATOR:
	default:
		return reject(ReasonMalformed, "a cause is needed")
	}
	s.removeEntry(e.name)
	s.confirmAll(e.name)
	s.head.entryFloor = a.offset
	s.assignOwners(a.offset)
	return nil
}

// leave begins a graceful shutdown.
func (s *State) leave(a *appliedRecord, m *record.EntryLeaving) *Rejection {
	e, r := s.registeredProcess(a, m.GetEntry(), m.GetIncarnation())
	if r != nil {
		return r
	}
	if a.record.GetWriter() != e.name || e.leaving {
		return reject(ReasonWrongState, "only entry %s says, once, that it leaves", e.name)
	}
	e.leaving = true
	s.changeEntry(e, a.offset)
	return nil
}

// suspect takes ownership from a silent entry.
func (s *State) suspect(a *appliedRecord, m *record.EntrySuspect) *Rejection {
	e, r := s.registeredProcess(a, m.GetEntry(), m.GetIncarnation())
	if r != nil {
		return r
	}
	if r := s.checkMaySuspect(a.record.GetWriter(), e.name); r != nil {
		return r
	}
	if e.suspect {
		return reject(ReasonWrongState, "entry %s is suspected already", e.name)
	}
	if a.record.GetWriter() != e.name && 2*(s.countSuspects()+1) > len(s.entries) {
		return reject(ReasonSuspect, "less than half of the entries would stay unsuspected")
	}
	e.suspect = true
	s.changeEntry(e, a.offset)
	return nil
}

// clearSuspicion lifts a suspicion.
func (s *State) clearSuspicion(a *appliedRecord, m *record.EntryAlive) *Rejection {
	e, r := s.registeredProcess(a, m.GetEntry(), m.GetIncarnation())
	if r != nil {
		return r
	}
	if a.record.GetWriter() != e.name || !e.suspect {
		return reject(ReasonWrongState, "only entry %s lifts a suspicion of it", e.name)
	}
	e.suspect = false
	s.changeEntry(e, a.offset)
	return nil
}

// registeredProcess returns the registered registeredProcess that a record is about, after the
// check of its basis.
func (s *State) registeredProcess(a *appliedRecord, name string, incarnation uint64) (Entry, *Rejection) {
	e, ok := s.entries[name]
	if !ok || e.incarnation != incarnation {
		return Entry{}, reject(ReasonUnknownEntry, "entry %s with incarnation %d", name, incarnation)
	}
	return e, a.checkBasis(e.basis)
}

// checkMaySuspect rejects the word of an entry that is unregistered or suspected
// itself. A new process may accuse the one before it of the same entry: where all
// hosts were replaced at once, nobody else is left to do so.
func (s *State) checkMaySuspect(accuser, accused string) *Rejection {
	if accuser == accused {
		return nil
	}
	if e, ok := s.entries[accuser]; !ok || e.suspect {
		return reject(ReasonSuspect, "%q may not accuse %s", accuser, accused)
	}
	return nil
}

// countSuspects returns how many entries are suspected.
func (s *State) countSuspects() int {
	n := 0
	for _, e := range s.entries {
		if e.suspect {
			n++
		}
	}
	return n
}

// entryBasis returns the basis that a record about an entry needs.
func (s *State) entryBasis(name string) uint64 {
	if e, ok := s.entries[name]; ok {
		return e.basis
	}
	return s.head.entryFloor
}

// changeEntry stores an entry that a record changed.
func (s *State) changeEntry(e Entry, offset uint64) {
	e.basis = offset
	s.putEntry(e)
	s.assignOwners(offset)
}

// entryNames returns the names of all registered entries, sorted.
func (s *State) entryNames() []string {
	n := make([]string, 0, len(s.entries))
	for name := range s.entries {
		n = append(n, name)
	}
	slices.Sort(n)
	return n
}
