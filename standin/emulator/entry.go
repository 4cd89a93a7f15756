package emulator

import (
	"fmt"
	"time"

	"fescuelanding/entry/member"
	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

const (
	// _storeTimeout is when an entry takes a call to the store to be unanswered.
	_storeTimeout = 600 * time.Millisecond
	// _listPause is between reads of the list of upstreams.
	_listPause = 400 * time.Millisecond
	// _partition is that of the pool.
	_partition = 1
	_store     = "store"
)

// entry emulates an entry: its membership and, while it holds the pool, an owner.
type entry struct {
	world *World
	name  string
	// life counts its incarnations; what belongs to an earlier one is void.
	life int
	up   bool
	// frozen entries do nothing until a time; lost is what their steady clock has
	// missed.
	frozen time.Duration
	lost   time.Duration

	// touched is when it was last disturbed: out of touch for _contact after it.
	touched time.Duration

	shares     member.Partitions
	generation int64
	handover   member.Handover
	joining    bool
	// confirmed is when the call was sent that confirmed its shares, by the time of
	// day, which goes on while it is frozen.
	confirmed time.Duration
	owner     *owner
	shift     *shift
}

// _contact is how long an entry must have been undisturbed to be held to what it
// says.
const _contact = 4 * time.Second

// disturb notes a fault that lasts until a time.
func (e *entry) disturb(until time.Duration) { e.touched = max(e.touched, until) }

// inTouch reports whether the entry has been undisturbed for long enough.
func (e *entry) inTouch() bool {
	w := e.world
	return w.now > e.touched+_contact && w.now > w.fault.last+_contact
}

// steady is the entry's own clock, which stands still while it is frozen.
func (e *entry) steady() time.Duration { return e.world.now - e.lost }

// time is what the entry takes the time to be.
func (e *entry) time() time.Time { return _epoch.Add(e.steady()) }

// do has a life of the entry do something, once it isn't frozen.
func (e *entry) do(life int, f func()) {
	if e.life != life || !e.up {
		return
	}
	if e.world.now < e.frozen {
		e.world.after(e.frozen-e.world.now, func() { e.do(life, f) })
		return
	}
	f()
}

// after has the entry do something after a time of its steady clock.
func (e *entry) after(d time.Duration, f func()) {
	life, due := e.life, e.steady()+d
	var fire func()
	fire = func() {
		e.do(life, func() {
			if left := due - e.steady(); left > 0 {
				e.world.after(left, fire)
				return
			}
			f()
		})
	}
	e.world.after(d, fire)
}

// start begins a life.
func (e *entry) start() {
	e.life++
	e.up, e.frozen = true, 0
	e.shares, e.handover, e.generation, e.joining = member.Partitions{}, member.Handover{}, 0, false
	e.owner, e.shift = nil, nil
	e.world.say("%s starts", e.name)
	e.loop()
	e.list()
}

// kill ends a life at once, and begins another later.
func (e *entry) kill(back time.Duration) {
	if !e.up {
		return
	}
	e.up, e.owner, e.shift = false, nil, nil
	e.disturb(e.world.now + back)
	e.world.say("%s is killed", e.name)
	e.world.after(back, e.start)
}

// terminate ends a life in order.
func (e *entry) terminate(back time.Duration) {
	if !e.up || e.world.now < e.frozen {
		return
	}
	e.world.say("%s stops", e.name)
	e.owner, e.shift = nil, nil
	e.shares.Drop()
	me := e.member()
	call(e, _store, _storeTimeout, func(answer func(bool, error)) {
		if err := e.world.refusal(e.name); err == nil {
			e.world.store.Leave(serve.Member{Group: _group, Name: me})
			answer(true, nil)
		}
	}, func(bool, error) {
		e.nudgeOthers()
		e.kill(back)
	})
}

// freeze suspends the entry.
func (e *entry) freeze(d time.Duration) {
	if !e.up || e.world.now < e.frozen {
		return
	}
	e.world.say("%s is frozen for %v", e.name, d)
	e.frozen = e.world.now + d
	e.disturb(e.frozen)
	begun := e.world.now
	life := e.life
	// The clock stands while frozen: events that are due wait, and see it so.
	e.world.after(d, func() {
		if e.life == life {
			e.lost += e.world.now - begun
		}
	})
}

const _group = "entries"

func (e *entry) member() string { return fmt.Sprintf("%s/%d", e.name, e.life) }

// loop joins the group again and again.
func (e *entry) loop() {
	e.join(func(ok bool) {
		pause := member.JoinInterval
		if !ok {
			pause = member.RetryInterval
		}
		e.after(pause, e.loop)
	})
}

// nudge has the entry join at once.
func (e *entry) nudge() {
	e.after(member.RejoinDelay, func() { e.join(func(bool) {}) })
}

func (e *entry) nudgeOthers() {
	for _, o := range e.world.entries {
		if o != e && e.world.net.open(e.name, o.name, e.world.now) {
			e.world.after(e.world.delay(), func() { o.do(o.life, o.nudge) })
		}
	}
}

func (e *entry) join(then func(ok bool)) {
	if e.joining {
		then(true)
		return
	}
	e.joining = true
	sent, sentAt := e.time(), e.world.now
	m := serve.Member{Group: _group, Name: e.member(), TTL: member.TTL, Generation: e.generation}
	call(e, _store, _storeTimeout, func(answer func(platform.Membership, error)) {
		if err := e.world.refusal(e.name); err != nil {
			answer(platform.Membership{}, err)
			return
		}
		a := e.world.store.Join(e.world.time(), m)
		if e.world.keepsAnswer() {
			answer(a, nil)
		}
	}, func(a platform.Membership, err error) {
		e.joining = false
		if err != nil {
			then(false)
			return
		}
		e.generation, e.confirmed = a.Generation, sentAt
		e.shares.Assign(member.Assignment{Generation: a.Generation, Partitions: a.Partitions, ConfirmedAt: sent})
		e.settle()
		again, nudge := e.handover.Joined(a.Partitions)
		if nudge {
			e.nudgeOthers()
		}
		if again {
			e.after(0, func() { e.join(func(bool) {}) })
		}
		then(true)
	})
}

// settle has the owner be that of the share.
func (e *entry) settle() {
	if o := e.owner; o != nil {
		if o.sched.Lost() || o.ended {
			e.shares.NoteLaterOwner(_partition)
		}
		if t := e.shares.Token(_partition); t == 0 || t != o.token {
			e.world.say("%s gives the pool up", e.name)
			e.owner = nil
		}
	}
	if t := e.shares.Token(_partition); e.owner == nil && t > 0 {
		e.world.say("%s gains the pool, token %d", e.name, t)
		gain(e, t)
	}
	if e.owner != nil {
		e.owner.confirm()
	}
	if t := e.shares.Token(_duty); e.shift == nil && t > 0 || e.shift != nil && t != e.shift.token {
		e.shift = nil
		if t > 0 {
			takeDuty(e, t)
		}
	}
}

// list reads the list of upstreams while the pool is held.
func (e *entry) list() {
	if e.owner == nil {
		e.after(_listPause/2, e.list)
		return
	}
	call(e, _store, _storeTimeout, func(answer func([]platform.Upstream, error)) {
		if err := e.world.refusal(e.name); err != nil {
			answer(nil, err)
			return
		}
		answer(e.world.listed(), nil)
	}, func(l []platform.Upstream, err error) {
		if err == nil && e.owner != nil {
			e.owner.list(l)
		}
		e.after(_listPause, e.list)
	})
}
