package emulator

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"fescuelanding/entry/link"
	"fescuelanding/entry/scheduler"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

const (
	// _homesTopic has the homes of routes, as in the product.
	_homesTopic = "keyed.queues"
	// _maxMoves is the largest number of versions after the first, each of which may have the route feed
	// another pool, or removes it for _minRemoved to _maxRemoved.
	_maxMoves                = 5
	_minRemoved, _maxRemoved = 300 * time.Millisecond, 4 * time.Second
	// _repeatedJobs means that one accepted job in so many is submitted again, up to _maxRepeats times, each
	// up to _repeatWithin later.
	_repeatedJobs = 2
	_maxRepeats   = 3
	_repeatWithin = 9 * time.Second
	// _releaseTimeout bounds a request to release a route.
	_releaseTimeout = 2 * time.Second
)

// _morePools are the pools of a history with moves, besides the first.
var _morePools = []string{"pool2", "pool3"}

// rerouting draws the versions of the configuration that have the queue's route feed another pool, apart from the
// rest of the history.
type rerouting struct {
	rand *rand.Rand
	// pools are the pools that the route feeds, by version; empty if there is no such route.
	pools []string
}

// planMoves adds further pools with a part of the hosts, and the versions.
func (w *World) planMoves() {
	m := &rerouting{rand: rand.New(rand.NewPCG(w.settings.Seed, 11)), pools: []string{_pool}}
	w.rerouting = m
	for _, p := range _morePools {
		w.pools = append(w.pools, p)
		q := w.queues[_pool]
		q.Pool = p
		w.queues[p] = q
	}
	for i, u := range w.upstreams {
		if k := i % (1 + len(_morePools)); u.host.pool == _pool && k > 0 {
			u.host, u.report.Pool = hostIn(_morePools[k-1]), _morePools[k-1]
		}
	}
	for range 1 + m.rand.IntN(_maxMoves) {
		at := drawBetween(m.rand, time.Second, w.settings.SubmitPeriod+_repeatWithin/2)
		to, removed := w.pools[m.rand.IntN(len(w.pools))], time.Duration(0)
		if m.rand.IntN(3) == 0 {
			removed = drawBetween(m.rand, _minRemoved, _maxRemoved)
			w.after(at, func() { w.publish("") })
		}
		w.after(at+removed, func() { w.publish(to) })
	}
}

// publish publishes a version of the configuration that has the route feed a pool.
func (w *World) publish(pool string) {
	w.rerouting.pools = append(w.rerouting.pools, pool)
	v := len(w.rerouting.pools) - 1
	w.tracef("version %d: the route feeds %q", v, pool)
	for _, e := range w.entries {
		incarnation := e.incarnation
		w.after(drawBetween(w.rerouting.rand, 0, _configDelay), func() {
			e.do(incarnation, func() {
				if v <= e.version {
					return
				}
				e.version = v
				for _, p := range sortedKeys(e.owners) {
					e.owners[p].configure()
				}
			})
		})
	}
}

// fedPool returns the pool that a route feeds in the entry's configuration. ok is false if there is no such route.
func (e *entry) fedPool(pool string) (fed string, ok bool) {
	m := e.world.rerouting
	if m == nil {
		return pool, true
	}
	return m.pools[e.version], m.pools[e.version] != ""
}

// planRepeats has an accepted job submitted again.
func (w *World) planRepeats(j *jobRecord) {
	if w.rerouting == nil || w.rerouting.rand.IntN(_repeatedJobs) > 0 {
		return
	}
	for range 1 + w.rerouting.rand.IntN(_maxRepeats) {
		w.after(drawBetween(w.rerouting.rand, 0, _repeatWithin), func() {
			w.tracef("job %s is submitted again", j.def.GetId())
			w.submit(j, _submitAttempts)
		})
	}
}

// underVersion returns an event as it is passed to the owner of a pool under the entry's configuration.
func (e *entry) underVersion(pool string, ev scheduler.Event) scheduler.Event {
	s, ok := ev.(scheduler.Submitted)
	if !ok || e.world.rerouting == nil {
		return ev
	}
	s.Version = int64(e.version)
	s.Job, ok = proto.Clone(s.Job).(*work.Job)
	if !ok {
		panic("the clone of a job is no job")
	}
	s.Job.Pool = pool
	return s
}

// readHomes reads the records of the routes' homes.
func (w *World) readHomes() (map[string]*work.Home, int64) {
	l, end := w.store.Newest(_homesTopic, 0)
	m := make(map[string]*work.Home, len(l))
	for _, r := range l {
		h := &work.Home{}
		if err := proto.Unmarshal(r.Value, h); err != nil {
			w.ledger.addViolation("DECODE", "home of %s: %v", r.Key, err)
		}
		m[r.Key] = h
	}
	return m, end
}

// findHomes reads and writes the homes of routes until that has succeeded.
func (o *owner) findHomes(f scheduler.FindHomes) {
	w, e := o.entry.world, o.entry
	again := func() {
		e.after(_appendRetryDelay, func() {
			if o.isCurrent() {
				o.findHomes(f)
			}
		})
	}
	var all, changed map[string]*work.Home
	o.callStore(func() serve.Refusal {
		m, end := w.readHomes()
		all, changed = scheduler.UpdateHomes(m, o.pool, f.Version, f.Queues)
		return serve.Refusal{Expected: end}
	}, func(r serve.Refusal, err error) {
		switch {
		case err != nil:
			again()
			return
		case len(changed) == 0:
			o.post(scheduler.HomesFound{Homes: all})
			return
		}
		var l []platform.Record
		for _, k := range sortedKeys(changed) {
			b, err := proto.Marshal(changed[k])
			if err != nil {
				w.ledger.addViolation("DECODE", "home of %s: %v", k, err)
			}
			l = append(l, platform.Record{Key: k, Value: b})
		}
		o.callStore(func() serve.Refusal {
			_, _, x := w.store.Append(serve.Append{Topic: _homesTopic, At: r.Expected, HasAt: true, Records: l})
			return x
		}, func(x serve.Refusal, err error) {
			if err != nil || x.Status != 0 {
				again()
				return
			}
			w.tracef("%s: homes of %s: %v", e.name, o.pool, changed)
			o.post(scheduler.HomesFound{Homes: all})
		})
	})
}

// callStore calls the store, which executes f. If the answer gets lost, it may do that late.
func (o *owner) callStore(f func() serve.Refusal, done func(serve.Refusal, error)) {
	w, e := o.entry.world, o.entry
	call(e, _store, _appendTimeout, func(answer func(serve.Refusal, error)) {
		if err := w.storeError(e.name); err != nil {
			answer(serve.Refusal{}, err)
			return
		}
		late, arrives := time.Duration(0), w.answerArrives()
		if !arrives && w.rerouting.rand.IntN(2) == 0 {
			late = drawBetween(w.rerouting.rand, 0, _maxLate)
		}
		w.after(late, func() {
			r := f()
			if arrives {
				answer(r, nil)
			}
		})
	}, func(r serve.Refusal, err error) {
		if o.isCurrent() {
			done(r, err)
		}
	})
}

// requestRelease asks the owner of another pool to release routes.
func (o *owner) requestRelease(q scheduler.RequestRelease) {
	over := false
	done := func(a *link.Answer) {
		if !over {
			over = true
			o.post(scheduler.PoolReleased{Pool: q.Pool, Answer: a})
		}
	}
	r := &request{
		world: o.entry.world, entry: o.entry, pool: q.Pool, fixed: true, deadline: o.entry.world.now + _linkTimeout,
		event: func(ref scheduler.Ref) scheduler.Event {
			return scheduler.ReleaseRequested{Ref: ref, Routes: q.Routes, Queues: q.Queues, Version: q.Version, After: q.After}
		},
		done: done,
	}
	r.try()
	o.entry.after(_releaseTimeout, func() { done(&link.Answer{Outcome: link.Outcome_OUTCOME_UNKNOWN}) })
}
