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
	_grace        = 2 * time.Second
	_aliveFirst   = time.Second
	_aliveLongest = 30 * time.Second
)

// watch remembers how the other entries were heard, and decides what the log
// should be told of them and of this one. The zero value has heard nobody.
type watch struct {
	// self is the name of this entry.
	self string
	// seen has when each process was first seen as registered.
	seen map[broker.Entry]time.Time
	// connected has the entries heard at the last tick.
	connected map[string]bool
	// silentSince has since when each process was not heard.
	silentSince map[broker.Entry]time.Time
	// absence has since when the platform's lists have lacked entries.
	absence absence
	// aliveAfter is the pause before the next EntryAlive; zero for the first.
	aliveAfter   time.Duration
	suspectSince time.Time
}

// silent returns the entries that were heard at the last tick and are not any
// more, and those to accuse: silent for good, while at least about half of the
// others are heard, so that it isn't this entry that is cut off.
func (w *watch) silent(now time.Time, v *view.View, heard map[string]peer.Status) (lost, accused []broker.Entry) {
	w.note(now, v)
	others := 0
	for _, e := range v.Entries() {
		if e.Name() != w.self {
			others++
		}
	}
	for _, e := range v.Entries() {
		b := broker.Entry{Name: e.Name(), Incarnation: e.Incarnation()}
		_, ok := heard[b.Name]
		if b.Name == w.self || ok {
			w.connected[b.Name] = ok
			continue
		}
		if w.connected[b.Name] {
			w.connected[b.Name] = false
			lost = append(lost, b)
		}
		if now.Sub(w.seen[b]) < _grace || e.Suspect() || e.Leaving() || 2*len(heard) < others-1 {
			continue
		}
		accused = append(accused, b)
	}
	return lost, accused
}

// note begins the time of grace of processes that are new.
func (w *watch) note(now time.Time, v *view.View) {
	if w.seen == nil {
		w.seen = make(map[broker.Entry]time.Time)
		w.connected = make(map[string]bool)
	}
	for _, e := range v.Entries() {
		b := broker.Entry{Name: e.Name(), Incarnation: e.Incarnation()}
		if _, ok := w.seen[b]; !ok {
			w.seen[b] = now
		}
	}
}

// listed takes the platform's list in. One that lacks this entry itself doesn't
// cover entries, and says nothing of them.
func (w *watch) listed(now time.Time, list []platform.LiveHost) {
	on := make(map[string]bool, len(list))
	for _, h := range list {
		on[h.Name()] = true
	}
	if !on[w.self] {
		w.absence.reset()
		return
	}
	w.absence.see(list, now)
}

// lost returns the suspects that were not heard, and that the platform's list
// has dropped, for longer than the list lags. By then such an entry, if it runs
// at all, has found its view stale and sends nothing. Silence alone does not do:
// what an entry that lives has in flight must count.
func (w *watch) lost(now time.Time, v *view.View, heard map[string]peer.Status) []broker.Entry {
	if w.silentSince == nil {
		w.silentSince = make(map[broker.Entry]time.Time)
	}
	lag := v.Config().Fleet().LiveListLag()
	var l []broker.Entry
	for _, e := range v.Entries() {
		b := broker.Entry{Name: e.Name(), Incarnation: e.Incarnation()}
		if _, ok := heard[b.Name]; ok || b.Name == w.self {
			delete(w.silentSince, b)
			continue
		}
		t, ok := w.silentSince[b]
		if !ok {
			w.silentSince[b] = now
			continue
		}
		if e.Suspect() && now.Sub(t) >= lag && w.absence.offFor(b.Name) >= lag && majority(v, heard) {
			l = append(l, b)
		}
	}
	return l
}

// alive reports whether a suspicion of this entry is to be lifted, once it has
// heard most others again for a pause. The pause doubles each time, so that a
// flapping link doesn't move ownership about.
func (w *watch) alive(now time.Time, v *view.View, heard map[string]peer.Status) bool {
	if !majority(v, heard) && len(v.Entries()) > 2 {
		w.suspectSince = time.Time{}
		return false
	}
	if w.suspectSince.IsZero() {
		w.suspectSince = now
	}
	if w.aliveAfter == 0 {
		w.aliveAfter = _aliveFirst
	}
	if now.Sub(w.suspectSince) < w.aliveAfter {
		return false
	}
	w.aliveAfter = min(2*w.aliveAfter, _aliveLongest)
	w.suspectSince = now
	return true
}

// cleared notes that this entry is not suspected.
func (w *watch) cleared() { w.suspectSince = time.Time{} }

// majority reports whether this entry and those it hears are more than half of
// the registered ones.
func majority(v *view.View, heard map[string]peer.Status) bool {
	n := 1
	for _, e := range v.Entries() {
		if _, ok := heard[e.Name()]; ok {
			n++
		}
	}
	return 2*n > len(v.Entries())
}

// confirmed returns the steps that wait for an entry, on hosts where it has
// nothing in flight.
func confirmed(v *view.View, entry string, idle func(host string) bool) []*record.StepRef {
	var l []*record.StepRef
	for _, s := range v.Steps() {
		if s.WaitsFor(entry) && idle(s.Host()) {
			l = append(l, s.Ref())
		}
	}
	return l
}
