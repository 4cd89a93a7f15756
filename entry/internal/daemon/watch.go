package daemon

import (
	"time"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/internal/view"
	"fescuelanding/entry/peer"
	"fescuelanding/fleet/platform"
	"fescuelanding/fleet/record"
)

const (
	_connectGrace = 2 * time.Second
	_minLiftDelay = time.Second
	_maxLiftDelay = 30 * time.Second
)

// failureDetector decides from the connections to other entries which of them
// to suspect or unregister, and when to lift a suspicion of this entry. Only the
// field self must be set before use.
type failureDetector struct {
	// self is the name of this entry.
	self string
	// firstSeen is the time at which each process was first seen as registered.
	firstSeen map[broker.Entry]time.Time
	// wasConnected is true for the entries that were connected at the last tick.
	wasConnected map[string]bool
	// disconnectedSince is the first tick at which each process wasn't connected;
	// connected processes have none.
	disconnectedSince map[broker.Entry]time.Time
	// absence records how long entries have been missing from the live list.
	absence absenceTracker
	// liftDelay is the delay before a suspicion of this entry is next lifted; zero
	// before the first time.
	liftDelay time.Duration
	// majoritySince is when this entry, while suspected, was again connected to a
	// majority, or when it last lifted the suspicion.
	majoritySince time.Time
}

// checkConnections returns the entries that have disconnected since the last
// tick, and those to suspect. An entry is suspected if it isn't connected after
// the grace period, and is neither suspected already nor leaving. No entry is
// suspected unless this one and the connected ones are at least half of all
// entries, since otherwise it may be this entry that is cut off.
func (f *failureDetector) checkConnections(now time.Time, v *view.View, connected map[string]peer.Status) (disconnected, suspects []broker.Entry) {
	f.noteRegistered(now, v)
	others := 0
	for _, e := range v.Entries() {
		if e.Name() != f.self {
			others++
		}
	}
	for _, e := range v.Entries() {
		b := broker.Entry{Name: e.Name(), Incarnation: e.Incarnation()}
		_, ok := connected[b.Name]
		if b.Name == f.self || ok {
			f.wasConnected[b.Name] = ok
			continue
		}
		if f.wasConnected[b.Name] {
			f.wasConnected[b.Name] = false
			disconnected = append(disconnected, b)
		}
		if now.Sub(f.firstSeen[b]) < _connectGrace || e.Suspect() || e.Leaving() || 2*len(connected) < others-1 {
			continue
		}
		suspects = append(suspects, b)
	}
	return disconnected, suspects
}

// noteRegistered begins the grace period of newly registered processes.
func (f *failureDetector) noteRegistered(now time.Time, v *view.View) {
	if f.firstSeen == nil {
		f.firstSeen = make(map[broker.Entry]time.Time)
		f.wasConnected = make(map[string]bool)
	}
	for _, e := range v.Entries() {
		b := broker.Entry{Name: e.Name(), Incarnation: e.Incarnation()}
		if _, ok := f.firstSeen[b]; !ok {
			f.firstSeen[b] = now
		}
	}
}

// addLiveList records the platform's live list. A list without this entry itself
// is taken to cover no entries at all. It is ignored, and the absences recorded
// from earlier lists are discarded.
func (f *failureDetector) addLiveList(now time.Time, list []platform.LiveHost) {
	on := make(map[string]bool, len(list))
	for _, h := range list {
		on[h.Name()] = true
	}
	if !on[f.self] {
		f.absence.reset()
		return
	}
	f.absence.add(list, now)
}

// lost returns the suspected processes to unregister: those that have been
// disconnected, and missing from the platform's live list, for at least the
// configured lag of that list. After that time the view of such a process is
// stale, so that it sends nothing even if it still runs. A lost connection alone
// isn't enough, because the requests in flight of a running process must still
// be counted. This entry must be connected to a majority.
func (f *failureDetector) lost(now time.Time, v *view.View, connected map[string]peer.Status) []broker.Entry {
	if f.disconnectedSince == nil {
		f.disconnectedSince = make(map[broker.Entry]time.Time)
	}
	lag := v.Config().Fleet().LiveListLag()
	var l []broker.Entry
	for _, e := range v.Entries() {
		b := broker.Entry{Name: e.Name(), Incarnation: e.Incarnation()}
		if _, ok := connected[b.Name]; ok || b.Name == f.self {
			delete(f.disconnectedSince, b)
			continue
		}
		t, ok := f.disconnectedSince[b]
		if !ok {
			f.disconnectedSince[b] = now
			continue
		}
		if e.Suspect() && now.Sub(t) >= lag && f.absence.missingFor(b.Name) >= lag && majority(v, connected) {
			l = append(l, b)
		}
	}
	return l
}

// shouldLiftSuspicion reports whether to lift a suspicion of this entry. This
// entry must have been connected to a majority for liftDelay. The delay doubles
// each time, so that a flapping link doesn't keep moving ownership. With one or
// two entries no majority is needed, because one of two is never a majority.
func (f *failureDetector) shouldLiftSuspicion(now time.Time, v *view.View, connected map[string]peer.Status) bool {
	if !majority(v, connected) && len(v.Entries()) > 2 {
		f.majoritySince = time.Time{}
		return false
	}
	if f.majoritySince.IsZero() {
		f.majoritySince = now
	}
	if f.liftDelay == 0 {
		f.liftDelay = _minLiftDelay
	}
	if now.Sub(f.majoritySince) < f.liftDelay {
		return false
	}
	f.liftDelay = min(2*f.liftDelay, _maxLiftDelay)
	f.majoritySince = now
	return true
}

// recordNotSuspected records that this entry is not suspected.
func (f *failureDetector) recordNotSuspected() { f.majoritySince = time.Time{} }

// majority reports whether this entry and the connected ones are more than half
// of the registered entries.
func majority(v *view.View, connected map[string]peer.Status) bool {
	n := 1
	for _, e := range v.Entries() {
		if _, ok := connected[e.Name()]; ok {
			n++
		}
	}
	return 2*n > len(v.Entries())
}

// confirmableSteps returns the steps, such as the drain of a host, that wait for
// an entry's confirmation, on hosts where the entry has nothing in flight.
func confirmableSteps(v *view.View, entry string, idle func(host string) bool) []*record.StepRef {
	var l []*record.StepRef
	for _, s := range v.Steps() {
		if s.WaitsFor(entry) && idle(s.Host()) {
			l = append(l, s.Ref())
		}
	}
	return l
}
