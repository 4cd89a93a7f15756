package fleet

import (
	"slices"

	"fescuelanding/fleet/record"
)

// Entry is a registered entry daemon with its current process. It is an immutable
// copy.
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

// Incarnation returns the incarnation number of its process.
func (e Entry) Incarnation() uint64 { return e.incarnation }

// DataCentre returns the name of its data centre.
func (e Entry) DataCentre() string { return e.dataCentre }

// PeerAddress returns the address that peers dial, as IP:port.
func (e Entry) PeerAddress() string { return e.peerAddress }

// AdminAddress returns the address of its status page, as IP:port.
func (e Entry) AdminAddress() string { return e.adminAddress }

// Leaving reports whether its graceful shutdown has begun.
func (e Entry) Leaving() bool { return e.leaving }

// Suspect reports whether it is suspected of having failed.
func (e Entry) Suspect() bool { return e.suspect }

// Registered returns the offset of its registration.
func (e Entry) Registered() uint64 { return e.registered }

// Basis returns the offset of the last accepted record about the entry.
func (e Entry) Basis() uint64 { return e.basis }

// eligible reports whether the entry may own PlannerKey and the pools' keys.
func (e Entry) eligible() bool { return !e.leaving && !e.suspect }

// register registers a process. If the entry's previous process is registered at
// the same address, it has ended, because the new process now listens there. If the
// previous process is registered at another address, the registration is rejected,
// because that process may only be paused and still have requests in flight.
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

// unregister removes the registration of a process. The steps no longer wait for
// its confirmations.
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
	s.head.lastEntryRemoval = a.offset
	s.assignOwners(a.offset)
	return nil
}

// leave marks an entry as shutting down gracefully; it loses its ownership.
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

// suspect marks an entry as suspected; it loses its ownership. At least half of the
// entries stay unsuspected, unless an entry suspects its own previous process.
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

// clearSuspicion makes a suspected entry eligible as an owner again.
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

// registeredProcess returns the registered process that a record is about and
// checks the record's basis.
func (s *State) registeredProcess(a *appliedRecord, name string, incarnation uint64) (Entry, *Rejection) {
	e, ok := s.entries[name]
	if !ok || e.incarnation != incarnation {
		return Entry{}, reject(ReasonUnknownEntry, "entry %s with incarnation %d", name, incarnation)
	}
	return e, a.checkBasis(e.basis)
}

// checkMaySuspect rejects a suspicion or loss reported by an entry that is itself
// unregistered or suspected. The new process of an entry may always report the
// entry's previous process, because no other entry can do so if the hosts of all
// entries were replaced at once.
func (s *State) checkMaySuspect(writer, entry string) *Rejection {
	if writer == entry {
		return nil
	}
	if e, ok := s.entries[writer]; !ok || e.suspect {
		return reject(ReasonSuspect, "%q may not accuse %s", writer, entry)
	}
	return nil
}

func (s *State) countSuspects() int {
	n := 0
	for _, e := range s.entries {
		if e.suspect {
			n++
		}
	}
	return n
}

// entryBasis returns the basis for a record about an entry: the entry's own, or the
// offset of the last unregistration if it isn't registered.
func (s *State) entryBasis(name string) uint64 {
	if e, ok := s.entries[name]; ok {
		return e.basis
	}
	return s.head.lastEntryRemoval
}

// changeEntry stores a changed entry and reassigns the owners.
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
