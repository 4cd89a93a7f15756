package emulator

import (
	"fmt"
	"time"

	"fescuelanding/entry/member"
	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

const (
	// _storeTimeout bounds an entry's call to the store.
	_storeTimeout = 600 * time.Millisecond
	// _listInterval is the time between reads of the list of upstreams.
	_listInterval = 400 * time.Millisecond
	// _firstPoolPartition is the partition whose holder owns the first pool.
	_firstPoolPartition = 1
	_store              = "store"
)

// entry emulates an entry: its group membership and, while it holds the partitions
// for them, the owners of pools and the planner of the hosts.
type entry struct {
	world *World
	name  string
	// incarnation counts restarts; callbacks of an earlier incarnation are dropped.
	incarnation int
	up          bool
	// frozenUntil is the end of the last freeze, during which the entry is suspended.
	// missed is the total time for which its steady clock has stood still.
	frozenUntil time.Duration
	missed      time.Duration

	// faultUntil is the end of its last fault.
	faultUntil time.Duration

	partitions member.Partitions
	// generation is the group's generation in the last answer to a join, joining is set
	// while a join is under way.
	generation int64
	handover   member.Handover
	joining    bool
	// confirmed is when it sent the call that confirmed its partitions, in world time,
	// which continues while the entry is frozen.
	confirmed time.Duration
	// owners are the owners that it runs, by pool.
	owners  map[string]*owner
	planner *planner
	// limitsVersion is the version of the limits of workspaces that it has.
	limitsVersion int
	// version is the version of the configuration that it has, by which a route feeds a pool.
	version int
}

// _settleTime is how long an entry must have been without a fault before the ledger
// relies on its answers.
const _settleTime = 4 * time.Second

// recordFault records that a fault of the entry lasts until a time.
func (e *entry) recordFault(until time.Duration) { e.faultUntil = max(e.faultUntil, until) }

// withoutRecentFault reports whether neither the entry nor the store had a fault within
// the last _settleTime.
func (e *entry) withoutRecentFault() bool {
	w := e.world
	return w.now > e.faultUntil+_settleTime && w.now > w.fault.lastEnd+_settleTime
}

// steady returns the entry's steady clock, which stands still while it is frozen.
func (e *entry) steady() time.Duration { return e.world.now - e.missed }

// time returns the entry's time of day, by its steady clock.
func (e *entry) time() time.Time { return _epoch.Add(e.steady()) }

// do runs f in an incarnation of the entry, after the freeze if it is frozen. It drops
// f if that incarnation has ended.
func (e *entry) do(incarnation int, f func()) {
	if e.incarnation != incarnation || !e.up {
		return
	}
	if e.world.now < e.frozenUntil {
		e.world.after(e.frozenUntil-e.world.now, func() { e.do(incarnation, f) })
		return
	}
	f()
}

// after runs f once the entry's steady clock has advanced by d.
func (e *entry) after(d time.Duration, f func()) {
	incarnation, due := e.incarnation, e.steady()+d
	var fire func()
	fire = func() {
		e.do(incarnation, func() {
			if left := due - e.steady(); left > 0 {
				e.world.after(left, fire)
				return
			}
			f()
		})
	}
	e.world.after(d, fire)
}

// start begins an incarnation.
func (e *entry) start() {
	e.incarnation++
	e.up, e.frozenUntil = true, 0
	e.partitions, e.handover, e.generation, e.joining = member.Partitions{}, member.Handover{}, 0, false
	e.owners, e.planner = make(map[string]*owner), nil
	if l := e.world.limits; l != nil {
		e.limitsVersion = len(l.versions) - 1
	}
	if m := e.world.rerouting; m != nil {
		e.version = len(m.pools) - 1
	}
	e.world.tracef("%s starts", e.name)
	e.loop()
	e.list()
}

// kill ends the incarnation at once and starts the next one after the downtime.
func (e *entry) kill(downtime time.Duration) {
	if !e.up {
		return
	}
	e.up, e.owners, e.planner = false, make(map[string]*owner), nil
	e.recordFault(e.world.now + downtime)
	e.world.tracef("%s is killed", e.name)
	e.world.after(downtime, e.start)
}

// terminate ends the incarnation with an orderly shutdown: the entry leaves its group.
func (e *entry) terminate(downtime time.Duration) {
	if !e.up || e.world.now < e.frozenUntil {
		return
	}
	e.world.tracef("%s stops", e.name)
	e.owners, e.planner = make(map[string]*owner), nil
	e.partitions.Drop()
	me := e.member()
	call(e, _store, _storeTimeout, func(answer func(bool, error)) {
		if err := e.world.storeError(e.name); err == nil {
			e.world.store.Leave(serve.Member{Group: _group, Name: me})
			answer(true, nil)
		}
	}, func(bool, error) {
		e.rejoinOthers()
		e.kill(downtime)
	})
}

// freeze suspends the entry.
func (e *entry) freeze(d time.Duration) {
	if !e.up || e.world.now < e.frozenUntil {
		return
	}
	e.world.tracef("%s is frozen for %v", e.name, d)
	e.frozenUntil = e.world.now + d
	e.recordFault(e.frozenUntil)
	begun := e.world.now
	incarnation := e.incarnation
	// The steady clock resumes only after the freeze; events that become due meanwhile
	// wait for its end.
	e.world.after(d, func() {
		if e.incarnation == incarnation {
			e.missed += e.world.now - begun
		}
	})
}

// stall stops the entry as a signal does: its clocks run on, so that it can't tell from them.
func (e *entry) stall(d time.Duration) {
	if !e.up || e.world.now < e.frozenUntil {
		return
	}
	e.world.tracef("%s stands still for %v", e.name, d)
	e.frozenUntil = e.world.now + d
	e.recordFault(e.frozenUntil)
}

const _group = "entries"

func (e *entry) member() string { return fmt.Sprintf("%s/%d", e.name, e.incarnation) }

// loop renews the group membership periodically.
func (e *entry) loop() {
	e.join(func(ok bool) {
		pause := member.JoinInterval
		if !ok {
			pause = member.RetryInterval
		}
		e.after(pause, e.loop)
	})
}

// rejoin renews the membership after member.RejoinDelay, so that the change that another
// entry announced has reached the store.
func (e *entry) rejoin() {
	e.after(member.RejoinDelay, func() { e.join(func(bool) {}) })
}

// rejoinOthers notifies the other entries of a change, so that they join at once.
func (e *entry) rejoinOthers() {
	for _, o := range e.world.entries {
		if o != e && e.world.net.open(e.name, o.name, e.world.now) {
			e.world.after(e.world.delay(), func() { o.do(o.incarnation, o.rejoin) })
		}
	}
}

// join renews the membership at the store and applies the assigned partitions. It does
// nothing while another join is under way.
func (e *entry) join(then func(ok bool)) {
	if e.joining {
		then(true)
		return
	}
	e.joining = true
	sent, sentAt := e.time(), e.world.now
	m := serve.Member{Group: _group, Name: e.member(), TTL: member.TTL, Generation: e.generation}
	call(e, _store, _storeTimeout, func(answer func(platform.Membership, error)) {
		if err := e.world.storeError(e.name); err != nil {
			answer(platform.Membership{}, err)
			return
		}
		a := e.world.store.Join(e.world.time(), m)
		if e.world.answerArrives() {
			answer(a, nil)
		}
	}, func(a platform.Membership, err error) {
		e.joining = false
		if err != nil {
			then(false)
			return
		}
		e.generation, e.confirmed = a.Generation, sentAt
		e.partitions.Assign(member.Assignment{Generation: a.Generation, Partitions: a.Partitions, ConfirmedAt: sent})
		e.applyAssignment()
		again, others := e.handover.Joined(a.Partitions)
		if others {
			e.rejoinOthers()
		}
		if again {
			e.after(0, func() { e.join(func(bool) {}) })
		}
		then(true)
	})
}

// applyAssignment starts and stops the owner and the planner so that they match the
// assigned partitions.
func (e *entry) applyAssignment() {
	for i, p := range e.world.pools {
		e.applyPoolAssignment(p, _firstPoolPartition+i)
	}
	if t := e.partitions.Token(_plannerPartition); e.planner == nil && t > 0 || e.planner != nil && t != e.planner.token {
		e.planner = nil
		if t > 0 {
			startPlanner(e, t)
		}
	}
}

// applyPoolAssignment starts or stops the owner of a pool so that it matches the pool's
// partition.
func (e *entry) applyPoolAssignment(pool string, partition int) {
	if o := e.owners[pool]; o != nil {
		if o.sched.Lost() || o.ended {
			e.partitions.NoteLaterOwner(partition)
		}
		if t := e.partitions.Token(partition); t == 0 || t != o.token {
			e.world.tracef("%s releases %s", e.name, pool)
			delete(e.owners, pool)
		}
	}
	if t := e.partitions.Token(partition); e.owners[pool] == nil && t > 0 {
		e.world.tracef("%s gains %s, token %d", e.name, pool, t)
		takeOwnership(e, pool, t)
	}
	if o := e.owners[pool]; o != nil {
		o.confirm()
	}
}

// list reads the list of upstreams periodically while the entry owns a pool.
func (e *entry) list() {
	if len(e.owners) == 0 {
		e.after(_listInterval/2, e.list)
		return
	}
	call(e, _store, _storeTimeout, func(answer func([]platform.Upstream, error)) {
		if err := e.world.storeError(e.name); err != nil {
			answer(nil, err)
			return
		}
		answer(e.world.listUpstreams(), nil)
	}, func(l []platform.Upstream, err error) {
		if err == nil {
			for _, p := range sortedKeys(e.owners) {
				e.owners[p].updateUpstreams(l)
			}
		}
		e.after(_listInterval, e.list)
	})
}
