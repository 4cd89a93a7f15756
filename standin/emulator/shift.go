package emulator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fescuelanding/entry/hostplan"
	"fescuelanding/entry/link"
	"fescuelanding/entry/member"
	"fescuelanding/entry/scheduler"
	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

const (
	// _duty is the partition of the planner of hosts.
	_duty = 0
	// _planPause, _cloudTimeout, _loadTimeout and _cloudLease are the planner's.
	_planPause    = 200 * time.Millisecond
	_cloudTimeout = time.Second
	_loadTimeout  = 150 * time.Millisecond
	_cloudLease   = 3 * time.Second
	_upkeepTopic  = "keyed.upkeep"
	_orderKey     = "order/"
)

// shift is the time for which an entry plans for the hosts.
type shift struct {
	entry *entry
	token int64
	plan  *hostplan.Planner
	begun map[int64][]string
	asked int64
	view  hostplan.View
}

// takeDuty has the entry plan for the hosts.
func takeDuty(e *entry, token int64) {
	s := &shift{entry: e, token: token, begun: make(map[int64][]string), plan: hostplan.New(hostplan.Settings{
		MoveTime: _move, UpkeepTime: _upkeep, OrdersPerS: 64, Lease: _cloudLease,
	})}
	e.shift = s
	e.world.say("%s plans for the hosts, token %d", e.name, token)
	s.load()
}

// held reports whether the entry still plans under this token.
func (s *shift) held() bool { return s.entry.shift == s }

// load reads what former holders left.
func (s *shift) load() {
	w := s.entry.world
	call(s.entry, _store, _cloudTimeout, func(answer func([]platform.Record, error)) {
		if err := w.refusal(s.entry.name); err != nil {
			answer(nil, err)
			return
		}
		l, _ := w.store.Newest(_upkeepTopic, 0)
		answer(l, nil)
	}, func(l []platform.Record, err error) {
		switch {
		case !s.held():
		case err != nil:
			s.entry.after(_planPause, s.load)
		default:
			for _, r := range l {
				s.take(r)
			}
			if w.declared.Number > 0 {
				s.plan.AddWave(s.entry.time(), w.declared, s.begun[w.declared.Number])
			}
			s.tick()
		}
	})
}

func (s *shift) take(r platform.Record) {
	if m, ok := strings.CutPrefix(r.Key, _orderKey); ok {
		at, u, _ := strings.Cut(string(r.Value), " ")
		ms, _ := strconv.ParseInt(at, 10, 64) // It was written by a shift.
		s.plan.AddPriorOrder(m, u, time.UnixMilli(ms))
		return
	}
	n, m, _ := strings.Cut(r.Key, "/")
	wave, _ := strconv.ParseInt(n, 10, 64) // The same.
	s.begun[wave] = append(s.begun[wave], m)
}

// tick lists the hosts, asks the pool's owner, plans, and does so again later.
func (s *shift) tick() {
	if !s.held() {
		return
	}
	w, e := s.entry.world, s.entry
	sent := e.time()
	call(e, _cloud, _cloudTimeout, func(answer func([]platform.Machine, error)) {
		answer(w.machines(), nil)
	}, func(l []platform.Machine, err error) {
		if !s.held() {
			return
		}
		e.after(_planPause, s.tick)
		if err != nil {
			return
		}
		s.view.Machines, s.view.ListedAt = l, sent
		s.measure(func() {
			s.step()
			if s.plan.TasksStarted() {
				s.measure(s.step)
			}
		})
	})
}

// measure asks the owner for its load, tells it what is planned, and goes on.
func (s *shift) measure(then func()) {
	w, e := s.entry.world, s.entry
	s.asked++
	q := s.plan.LoadRequest(e.time(), _pool)
	n := s.asked
	s.view.Pools = []hostplan.Pool{{Name: _pool}, {Name: _spare, Standby: true}}
	to := w.holder()
	if to == nil {
		then()
		return
	}
	call(e, to.name, _loadTimeout, func(answer func(*link.PoolLoad, error)) {
		to.do(to.life, func() {
			if to.owner == nil {
				answer(nil, errNoAnswer)
				return
			}
			to.owner.ask(func(r scheduler.Ref) scheduler.Event {
				return scheduler.LoadRequested{
					Ref: r, Token: s.token, Sequence: n, Arrivals: q.GetArrivals(),
					Vacate: q.GetVacate(), Due: q.GetDue(), Gone: q.GetGone(),
				}
			}, func(a *link.Answer) { answer(a.GetLoad(), nil) })
		})
	}, func(l *link.PoolLoad, _ error) {
		if s.held() {
			s.view.Pools[0].Load = l // Without an answer there is none.
			then()
		}
	})
}

// step plans, and gives orders once they are recorded.
func (s *shift) step() {
	var orders []hostplan.Op
	var records []platform.Record
	at := s.entry.time().UnixMilli()
	for _, op := range s.plan.Step(s.entry.time(), s.view) {
		switch op := op.(type) {
		case hostplan.Move:
			orders = append(orders, op)
			records = append(records, orderRecord(op.Machine, op.Upstream, at))
		case hostplan.Upkeep:
			orders = append(orders, op)
			records = append(records, orderRecord(op.Machine, op.Upstream, at))
		}
	}
	if len(orders) == 0 {
		return
	}
	s.record(records, func(err error) {
		for _, op := range orders {
			s.give(op, err)
		}
	})
}

func orderRecord(machine, upstream string, at int64) platform.Record {
	return platform.Record{Key: _orderKey + machine, Value: fmt.Appendf(nil, "%d %s", at, upstream)}
}

// record appends to the planners' topic.
func (s *shift) record(l []platform.Record, done func(error)) {
	w := s.entry.world
	call(s.entry, _store, _cloudTimeout, func(answer func(bool, error)) {
		if err := w.refusal(s.entry.name); err != nil {
			answer(false, err)
			return
		}
		w.store.Append(serve.Append{Topic: _upkeepTopic, Records: l})
		if w.keepsAnswer() {
			answer(true, nil)
		}
	}, func(_ bool, err error) { done(err) })
}

// give gives an order.
func (s *shift) give(op hostplan.Op, recorded error) {
	w, e := s.entry.world, s.entry
	name, pool, wave := "", _pool, int64(0)
	switch op := op.(type) {
	case hostplan.Move:
		name, pool = op.Machine, op.Pool
	case hostplan.Upkeep:
		name, wave = op.Machine, op.Wave
		pool = w.at(name).host.pool
	}
	if recorded != nil || w.now-e.confirmed >= member.MaxConfirmationAge {
		s.plan.HandleOrderResult(e.time(), name, hostplan.NotSent)
		return
	}
	call(e, _cloud, _cloudTimeout, func(answer func(bool, error)) {
		answer(true, w.order(name, e.name, s.token, pool, wave))
	}, func(_ bool, err error) {
		if s.held() {
			s.ordered(name, wave, err)
		}
	})
}

func (s *shift) ordered(name string, wave int64, err error) {
	r := hostplan.Done
	switch {
	case err == nil && wave > 0:
		s.record([]platform.Record{{Key: fmt.Sprintf("%d/%s", wave, name), Value: []byte{1}}}, func(error) {})
	case err == nil:
	case platform.Reason(err) == platform.ReasonFence:
		s.entry.shares.NoteLaterOwner(_duty)
		r = hostplan.Unknown
	case platform.Status(err) == http.StatusConflict:
		r = hostplan.Busy
	default:
		r = hostplan.Unknown
	}
	s.plan.HandleOrderResult(s.entry.time(), name, r)
}
