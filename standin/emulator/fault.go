package emulator

import (
	"fmt"
	"slices"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/entry/scheduler"
)

// drawFault draws a fault of the kinds that the platform has.
func (w *World) drawFault() func() {
	e := w.entries[w.rand.IntN(len(w.entries))]
	u := w.upstreams[w.rand.IntN(len(w.upstreams))]
	d := w.between(200*time.Millisecond, 9*time.Second)
	back := w.between(300*time.Millisecond, 3*time.Second)
	again := w.rand.IntN(2) == 0
	faults := []func(){
		func() { e.kill(back) },
		func() { w.killOwner(back) },
		func() { w.killAll(back) },
		func() { e.terminate(back) },
		func() { e.freeze(d) },
		func() { w.freezeOwner(d) },
		func() { w.cutStore(e, d) },
		func() { w.cutStoreOwner(d) },
		func() { w.cutLink(e, u, d) },
		func() { w.cutOwner(u, d) },
		func() { w.dark(u, d) },
		func() { w.crash(u, back, again) },
		func() { w.move(u, back, 20) },
		func() { w.storeDown(d, nil) },
		func() { w.storeDown(d, nil); w.move(u, back, 20) },
		func() { w.storeDown(d, map[string]bool{e.name: true}) },
		func() { w.storeForgets(d) },
		func() { w.say("%s carries orders out late for %v", u.machine, d); u.late = w.now + d },
		func() { w.say("%s loses answers for %v", u.machine, d); u.mute = w.now + d },
		func() { w.say("%s stands still for %v", u.machine, d); u.still = w.now + d },
		func() { w.say("rebalance"); w.store.Rebalance() },
	}
	return faults[w.rand.IntN(len(faults))]
}

func (w *World) killOwner(back time.Duration) {
	if e := w.holder(); e != nil {
		e.kill(back)
	}
}

func (w *World) killAll(back time.Duration) {
	for _, e := range w.entries {
		e.kill(back)
	}
}

func (w *World) freezeOwner(d time.Duration) {
	if e := w.holder(); e != nil {
		e.freeze(d)
	}
}

func (w *World) cutStoreOwner(d time.Duration) {
	if e := w.holder(); e != nil {
		w.cutStore(e, d)
	}
}

func (w *World) cutOwner(u *upstream, d time.Duration) {
	if e := w.holder(); e != nil {
		w.cutLink(e, u, d)
	}
}

// cutStore cuts an entry off the store.
func (w *World) cutStore(e *entry, d time.Duration) {
	w.say("%s is cut off the store for %v", e.name, d)
	e.disturb(w.now + d)
	w.net.cutOff(e.name, _store, w.now+d)
}

// cutLink cuts an entry off an upstream.
func (w *World) cutLink(e *entry, u *upstream, d time.Duration) {
	w.say("%s is cut off %s for %v", e.name, u.name(), d)
	w.net.cutOff(e.name, u.machine, w.now+d)
}

// dark cuts an upstream off everything; it runs on.
func (w *World) dark(u *upstream, d time.Duration) {
	w.say("%s is dark for %v", u.name(), d)
	for _, e := range w.entries {
		w.net.cutOff(e.name, u.machine, w.now+d)
	}
	w.net.cutOff(u.machine, _store, w.now+d)
}

// crash ends the life of an upstream; another begins, under the same ID or not.
func (w *World) crash(u *upstream, back time.Duration, sameID bool) {
	if u.down {
		return
	}
	w.say("%s crashes", u.name())
	old := u.report.ID
	u.begin(old)
	u.down = true
	w.after(back, func() {
		if sameID {
			u.begin(old)
			return
		}
		u.begin(fmt.Sprintf("%s-%d", u.machine, w.now.Milliseconds()))
		w.after(w.between(500*time.Millisecond, 1500*time.Millisecond), func() { w.bereave(old, 10) })
	})
}

// move plays the host planner, which takes a host away once the owner says that it
// is vacant.
func (w *World) move(u *upstream, back time.Duration, times int) {
	w.planned++
	n, old := w.planned, u.report.ID
	e := w.holder()
	if e == nil || e.owner == nil || u.down {
		return
	}
	e.do(e.life, func() {
		if e.owner == nil {
			return
		}
		e.owner.ask(func(r scheduler.Ref) scheduler.Event {
			return scheduler.Measured{Ref: r, Token: 1, Sequence: n, Vacate: []string{old}}
		}, func(a *link.Answer) {
			if u.report.ID == old && slices.Contains(a.GetLoad().GetVacant(), old) {
				w.crash(u, back, false)
			}
		})
	})
	if times > 1 {
		w.after(500*time.Millisecond, func() {
			if u.report.ID == old {
				w.move(u, back, times-1)
			}
		})
	}
}

// bereave plays the host planner, which tells the owner that no host names an
// upstream any more.
func (w *World) bereave(id string, times int) {
	w.planned++
	n, at := w.planned, w.unixMs()
	if e := w.holder(); e != nil && e.owner != nil {
		e.do(e.life, func() {
			if e.owner == nil {
				return
			}
			e.owner.ask(func(r scheduler.Ref) scheduler.Event {
				return scheduler.Measured{Ref: r, Token: 1, Sequence: n, Gone: []*link.Gone{{Upstream: id, AtUnixMs: at}}}
			}, func(*link.Answer) {})
		})
	}
	if times > 1 {
		w.after(500*time.Millisecond, func() { w.bereave(id, times-1) })
	}
}

// storeDown has the store refuse calls, of some entries or of all.
func (w *World) storeDown(d time.Duration, only map[string]bool) {
	w.say("store is down for %v, for %v", d, only)
	w.fault.only = only
	w.fault.down, w.fault.last = w.now+d, w.now+d
}

// storeForgets has the store lose answers.
func (w *World) storeForgets(d time.Duration) {
	w.say("store loses answers for %v", d)
	w.fault.forgetful, w.fault.last = w.now+d, max(w.fault.last, w.now+d)
}
