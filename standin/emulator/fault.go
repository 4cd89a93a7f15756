package emulator

import (
	"time"

	"fescuelanding/platform"
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
		func() { w.holder().suffer(func(e *entry) { e.kill(back) }) },
		func() { w.killAll(back) },
		func() { e.terminate(back) },
		func() { w.holder().suffer(func(e *entry) { e.terminate(back) }) },
		func() { w.roll(back) },
		func() { e.freeze(d) },
		func() { w.holder().suffer(func(e *entry) { e.freeze(d) }) },
		func() { w.cutStore(e, d) },
		func() { w.holder().suffer(func(e *entry) { w.cutStore(e, d) }) },
		func() { w.cutLink(e, u, d) },
		func() { w.holder().suffer(func(e *entry) { w.cutLink(e, u, d) }) },
		func() { w.dark(u, d) },
		func() { w.crash(u, back, again) },
		func() { w.planner().suffer(func(e *entry) { e.kill(back) }) },
		func() { w.planner().suffer(func(e *entry) { e.freeze(d) }) },
		func() { w.storeDown(d, nil) },
		func() { w.storeDown(d, map[string]bool{e.name: true}) },
		func() { w.storeForgets(d) },
		func() { w.say("%s carries orders out late for %v", u.machine, d); u.late = w.now + d },
		func() { w.say("%s loses answers for %v", u.machine, d); u.mute = w.now + d },
		func() { w.say("%s stands still for %v", u.machine, d); u.still = w.now + d },
		func() { w.say("rebalance"); w.store.Rebalance() },
	}
	return faults[w.rand.IntN(len(faults))]
}

// suffer has a fault strike an entry, if there is one.
func (e *entry) suffer(fault func(*entry)) {
	if e != nil {
		fault(e)
	}
}

// roll has all entries stop and start in turn.
func (w *World) roll(back time.Duration) {
	for i, e := range w.entries {
		w.after(time.Duration(i)*(back+time.Second), func() { e.terminate(back) })
	}
}

func (w *World) killAll(back time.Duration) {
	for _, e := range w.entries {
		e.kill(back)
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
	if u.host.state != platform.MachineUp {
		return
	}
	u.host.state = platform.MachineDown
	w.life(u, back, sameID)
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
