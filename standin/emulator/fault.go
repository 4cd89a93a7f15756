package emulator

import (
	"math/rand/v2"
	"time"

	"fescuelanding/platform"
)

// drawFault draws one of the faults that occur on the platform.
func (w *World) drawFault() func() {
	e := w.entries[w.rand.IntN(len(w.entries))]
	u := w.upstreams[w.rand.IntN(len(w.upstreams))]
	d := w.between(200*time.Millisecond, 9*time.Second)
	downtime := w.between(300*time.Millisecond, 3*time.Second)
	sameID := w.rand.IntN(2) == 0
	faults := []func(){
		func() { e.kill(downtime) },
		func() { w.holder().applyFault(func(e *entry) { e.kill(downtime) }) },
		func() { w.killAll(downtime) },
		func() { e.terminate(downtime) },
		func() { w.holder().applyFault(func(e *entry) { e.terminate(downtime) }) },
		func() { w.rollingRestart(downtime) },
		func() { e.freeze(d) },
		func() { w.holder().applyFault(func(e *entry) { e.freeze(d) }) },
		func() { w.cutStore(e, d) },
		func() { w.holder().applyFault(func(e *entry) { w.cutStore(e, d) }) },
		func() { w.cutLink(e, u, d) },
		func() { w.holder().applyFault(func(e *entry) { w.cutLink(e, u, d) }) },
		func() { w.isolate(u, d) },
		func() { w.crash(u, downtime, sameID) },
		func() { w.planner().applyFault(func(e *entry) { e.kill(downtime) }) },
		func() { w.planner().applyFault(func(e *entry) { e.freeze(d) }) },
		func() { w.storeDown(d, nil) },
		func() { w.storeDown(d, map[string]bool{e.name: true}) },
		func() { w.storeLosesAnswers(d) },
		func() { w.tracef("%s executes orders late for %v", u.machine, d); u.lateUntil = w.now + d },
		func() { w.tracef("%s loses answers for %v", u.machine, d); u.answersLostUntil = w.now + d },
		func() { w.tracef("%s stalls all runs for %v", u.machine, d); u.stalledUntil = w.now + d },
		w.rebalance,
	}
	return faults[w.rand.IntN(len(faults))]
}

// planLongOutage draws, in some histories, an outage of the store that outlasts all leases
// because the entries are killed in it.
func (w *World) planLongOutage() {
	r := rand.New(rand.NewPCG(w.settings.Seed, 1))
	if r.IntN(_longOutageOdds) != 0 {
		return
	}
	at := time.Second + time.Duration(r.Int64N(int64(w.settings.SubmitPeriod)))
	d := 8*time.Second + time.Duration(r.Int64N(int64(4*time.Second)))
	kill := time.Duration(r.Int64N(int64(d / 2)))
	w.after(at, func() { w.storeDown(d, nil) })
	w.after(at+kill, func() { w.killAll(time.Second) })
}

// _longOutageOdds means that one history in so many has a long outage.
const _longOutageOdds = 6

// applyFault applies a fault to the entry, or does nothing if the entry is nil: a partition
// may have no owner at the time.
func (e *entry) applyFault(fault func(*entry)) {
	if e != nil {
		fault(e)
	}
}

// rollingRestart restarts all entries one after the other.
func (w *World) rollingRestart(downtime time.Duration) {
	for i, e := range w.entries {
		w.after(time.Duration(i)*(downtime+time.Second), func() { e.terminate(downtime) })
	}
}

func (w *World) killAll(downtime time.Duration) {
	for _, e := range w.entries {
		e.kill(downtime)
	}
}

// cutStore partitions an entry from the store.
func (w *World) cutStore(e *entry, d time.Duration) {
	w.tracef("%s is partitioned from the store for %v", e.name, d)
	e.recordFault(w.now + d)
	w.net.cutOff(e.name, _store, w.now+d)
}

// cutLink partitions an entry from an upstream.
func (w *World) cutLink(e *entry, u *upstream, d time.Duration) {
	w.tracef("%s is partitioned from %s for %v", e.name, u.name(), d)
	w.net.cutOff(e.name, u.machine, w.now+d)
}

// isolate partitions an upstream from the entries and the store; its runs continue.
func (w *World) isolate(u *upstream, d time.Duration) {
	w.tracef("%s is isolated for %v", u.name(), d)
	for _, e := range w.entries {
		w.net.cutOff(e.name, u.machine, w.now+d)
	}
	w.net.cutOff(u.machine, _store, w.now+d)
}

// crash ends the incarnation of an upstream; another one begins after the downtime,
// under the same ID or a new one.
func (w *World) crash(u *upstream, downtime time.Duration, sameID bool) {
	if u.down {
		return
	}
	w.tracef("%s crashes", u.name())
	if u.host.state != platform.MachineUp {
		return
	}
	u.host.state = platform.MachineDown
	w.crashedUntil = max(w.crashedUntil, w.now+downtime)
	w.restartUpstream(u, downtime, sameID)
}

// rebalance makes the store reassign all partitions at once.
func (w *World) rebalance() {
	w.tracef("store rebalances all partitions")
	w.store.Rebalance()
}

// storeDown makes the store refuse calls from the entries in only, or from all if
// only is nil.
func (w *World) storeDown(d time.Duration, only map[string]bool) {
	w.tracef("store is down for %v; affected entries (all if empty): %v", d, only)
	w.fault.only = only
	w.fault.downUntil, w.fault.lastEnd = w.now+d, w.now+d
}

// storeLosesAnswers makes the store lose half of its answers.
func (w *World) storeLosesAnswers(d time.Duration) {
	w.tracef("store loses answers for %v", d)
	w.fault.answersLostUntil, w.fault.lastEnd = w.now+d, max(w.fault.lastEnd, w.now+d)
}
