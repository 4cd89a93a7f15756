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

// watch remembers how the other entries were connected, and decides what the log
// should be told of them and of this one. The zero value has connected nobody.
type failureDetector struct {
	// self is the name of this entry.
	self string
	// seen has when each process was first seen as registered.
	firstSeen map[broker.Entry]time.Time
	// connected has the entries connected at the last tick.
	wasConnected map[string]bool
	// disconnectedSince has since when each process was not connected.
	disconnectedSince map[broker.Entry]time.Time
	// absence has since when the platform's lists have lacked entries.
	absence absenceTracker
	// liftDelay is the pause before the next EntryAlive; zero for the first.
	liftDelay     time.Duration
	majoritySince time.Time
}

// silent returns the entries that were connected at the last tick and are not any
// more, and those to accuse: silent for good, while at least about half of the
// others are connected, so that it isn't this entry that is cut off.
func (f *failureDetector) checkConnections(now time.Time, v *view.View, connected map[string]peer.Status) (lost, suspects []broker.Entry) {
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
			lost = append(lost, b)
		}
		if now.Sub(f.firstSeen[b]) < _connectGrace || e.Suspect() || e.Leaving() || 2*len(connected) < others-1 {
			continue
		}
		suspects = append(suspects, b)
	}
	return lost, suspects
}

// note begins the time of grace of processes that are new.
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

// listed takes the platform's list in. One that lacks this entry itself doesn't
// cover entries, and says nothing of them.
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

// lost returns the suspects that were not connected, and that the platform's list
// has dropped, for longer than the list lags. By then such an entry, if it runs
// at all, has found its view stale and sends nothing. Silence alone does not do:
// what an entry that lives has in flight must count.
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

// alive reports whether a suspicion of this entry is to be lifted, once it has
// connected most others again for a pause. The pause doubles each time, so that a
// flapping link doesn't move ownership about.
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

// cleared notes that this entry is not suspected.
func (f *failureDetector) notSuspected() { f.majoritySince = time.Time{} }

// majority reports whether this entry and those it hears are more than half of
// the registered ones.
func majority(v *view.View, connected map[string]peer.Status) bool {
	n := 1
	for _, e := range v.Entries() {
		if _, ok := connected[e.Name()]; ok {
			n++
		}
	}
	return 2*n > len(v.Entries())
}

// confirmed returns the steps that wait for an entry, on hosts where it has
// nothing in flight.
func confirmableSteps(v *view.View, entry string, idle func(host string) bool) []*record.StepRef {
	var l []*record.StepRef
	for _, s := range v.Steps() {
		if s.WaitsFor(entry) && idle(s.Host()) {
			l = append(l, s.Ref())
		}
	}
	return l
}
