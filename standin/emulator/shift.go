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
	"fescuelanding/entry/quota"
	"fescuelanding/entry/scheduler"
	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

const (
	// _plannerPartition is the partition whose owner runs the host planner.
	_plannerPartition = 0
	// _planInterval is the time between plans. _cloudTimeout bounds calls to the cloud
	// interface and the store, _loadTimeout the load request to the pool's owner.
	_planInterval = 200 * time.Millisecond
	_cloudTimeout = time.Second
	_loadTimeout  = 150 * time.Millisecond
	// _ordersPerS is how many orders for hosts the cloud interface accepts per second, where
	// a load doesn't set it.
	_ordersPerS = 64.0
	// _cloudLease is how long the cloud interface may still execute an order after a former
	// planner recorded it.
	_cloudLease     = 3 * time.Second
	_upkeepTopic    = "keyed.upkeep"
	_orderKeyPrefix = "order/"
)

// planner runs the host planner for an entry while it holds the planner's partition.
type planner struct {
	entry *entry
	token int64
	plan  *hostplan.Planner
	// numbering numbers the appends to _upkeepTopic. One append is made at a time; the
	// others wait in queue.
	numbering hostplan.AppendNumbering
	appending bool
	queue     []func()
	// maintained lists, by wave, the hosts whose upkeep is done.
	maintained   map[int64][]string
	loadSequence int64
	// giver divides the limits of workspaces.
	giver quota.Giver
	view  hostplan.View
	// wave is the number of the declared wave that the planner has.
	wave int64
}

// startPlanner starts the host planner at an entry that has gained its partition.
func startPlanner(e *entry, token int64) {
	orders := _ordersPerS
	if l := e.world.load; l != nil && l.orders > 0 {
		orders = l.orders
	}
	p := &planner{
		entry: e, token: token, numbering: hostplan.NewAppendNumbering(token), maintained: make(map[int64][]string),
		plan: hostplan.New(hostplan.Settings{MoveTime: _moveTime, UpkeepTime: _upkeepTime, OrdersPerS: orders, Lease: _cloudLease}),
	}
	e.planner = p
	e.world.tracef("%s starts the host planner, token %d", e.name, token)
	p.load()
}

// isCurrent reports whether the entry still runs this planner. A restart of the entry or a
// new fencing token ends it.
func (p *planner) isCurrent() bool { return p.entry.planner == p }

// load makes the store reject further records of former planners, and reads the orders
// and upkeep that they have recorded.
func (p *planner) load() {
	w := p.entry.world
	claim := serve.Append{Topic: _upkeepTopic, Producer: p.numbering.Next()}
	call(p.entry, _store, _cloudTimeout, func(answer func([]platform.Record, error)) {
		if err := w.storeError(p.entry.name); err != nil {
			answer(nil, err)
			return
		}
		if _, _, r := w.store.Append(claim); r.Status != 0 {
			answer(nil, &platform.Error{Status: r.Status, Reason: r.Reason})
			return
		}
		l, _ := w.store.Newest(_upkeepTopic, 0)
		answer(l, nil)
	}, func(l []platform.Record, err error) {
		switch {
		case !p.isCurrent():
		case err != nil:
			p.answered(err)
			p.entry.after(_planInterval, p.load)
		default:
			for _, r := range l {
				p.restore(r)
			}
			p.tick()
		}
	})
}

// restore restores a former planner's order or completed upkeep from its record.
func (p *planner) restore(r platform.Record) {
	if m, ok := strings.CutPrefix(r.Key, _orderKeyPrefix); ok {
		at, u, _ := strings.Cut(string(r.Value), " ")
		ms, _ := strconv.ParseInt(at, 10, 64) // A planner wrote it, so it parses.
		p.plan.AddPriorOrder(m, u, time.UnixMilli(ms))
		return
	}
	n, m, _ := strings.Cut(r.Key, "/")
	wave, _ := strconv.ParseInt(n, 10, 64) // A planner wrote it, so it parses.
	p.maintained[wave] = append(p.maintained[wave], m)
}

// tick lists the hosts, exchanges load with the pool's owner, plans, and repeats this
// after _planInterval. If it gets no list, it plans with the previous list and loads.
func (p *planner) tick() {
	if !p.isCurrent() {
		return
	}
	w, e := p.entry.world, p.entry
	if n := w.declaredWave.Number; n > 0 && n != p.wave {
		p.wave = n
		p.plan.AddWave(e.time(), w.declaredWave, p.maintained[n])
	}
	sent := e.time()
	call(e, _cloud, _cloudTimeout, func(answer func([]platform.Machine, error)) {
		if w.listArrives() {
			answer(w.machines(), nil)
		}
	}, func(l []platform.Machine, err error) {
		if !p.isCurrent() {
			return
		}
		e.after(_planInterval, p.tick)
		if err != nil {
			if len(p.view.Machines) > 0 {
				p.step()
			}
			if w.limits != nil {
				p.exchangeLoad(func() {})
			}
			return
		}
		p.view.Machines, p.view.ListedAt = l, sent
		p.exchangeLoads(func() {
			p.step()
			// The pool's owner must be informed of a move or upkeep that the plan has just started.
			if p.plan.TasksStarted() {
				p.exchangeLoad(p.step)
			}
		})
	})
}

// exchangeLoads exchanges the loads, at most three times while tasks wait for shares that
// another exchange would bring nearer.
func (p *planner) exchangeLoads(then func()) {
	left := 2
	var next func()
	next = func() {
		p.giver.Divide()
		if left--; left >= 0 && p.giver.Pressing() {
			p.exchangeLoad(next)
			return
		}
		then()
	}
	p.exchangeLoad(next)
}

// exchangeLoad requests the load of each pool from its owner and sends the planned
// changes along. It calls then once, after every owner has answered or failed to, unless
// the planner has ended meanwhile.
func (p *planner) exchangeLoad(then func()) {
	w := p.entry.world
	p.view.Pools = nil
	left := len(w.pools)
	for _, name := range w.pools {
		p.view.Pools = append(p.view.Pools, hostplan.Pool{Name: name})
	}
	if w.load == nil || w.load.standby > 0 {
		p.view.Pools = append(p.view.Pools, hostplan.Pool{Name: _spare, Standby: true})
	}
	answers := p.view.Pools
	p.divide()
	for i, name := range w.pools {
		p.requestLoad(name, func(l *link.PoolLoad) {
			answers[i].Load = l // nil if the owner did not answer
			if l != nil {
				p.giver.Reported(p.entry.time(), name, quota.DecodeReport(l))
			} else {
				p.giver.Unanswered(name)
			}
			if left--; left == 0 {
				then()
			}
		})
	}
}

// requestLoad exchanges the load of one pool, and passes nil to done if its owner doesn't
// answer.
func (p *planner) requestLoad(pool string, done func(*link.PoolLoad)) {
	w, e := p.entry.world, p.entry
	p.loadSequence++
	q := p.plan.LoadRequest(e.time(), pool)
	p.grant(pool).Encode(q)
	n := p.loadSequence
	to := w.holderOf(w.partition(pool))
	if to == nil {
		done(nil)
		return
	}
	call(e, to.name, _loadTimeout, func(answer func(*link.PoolLoad, error)) {
		to.do(to.incarnation, func() {
			o := to.owners[pool]
			if o == nil {
				answer(nil, errNoAnswer)
				return
			}
			o.submit(func(r scheduler.Ref) scheduler.Event {
				return scheduler.LoadRequested{
					Ref: r, Token: p.token, Sequence: n, Arrivals: q.GetArrivals(),
					Ahead:  time.Duration(q.GetAheadMs()) * time.Millisecond,
					Vacate: q.GetVacate(), Evict: q.GetEvict(), Reclaimable: q.GetReclaimable(), Due: q.GetDue(), Gone: q.GetGone(),
					Shares: q.GetShares(), SharesOwner: q.GetSharesOwner(), SharesReport: q.GetSharesReport(),
				}
			}, func(a *link.Answer) { answer(a.GetLoad(), nil) })
		})
	}, func(l *link.PoolLoad, _ error) {
		if p.isCurrent() {
			done(l)
		}
	})
}

// step plans and records the resulting orders, then sends them.
func (p *planner) step() {
	var orders []hostplan.Op
	var records []platform.Record
	at := p.entry.time().UnixMilli()
	for _, op := range p.plan.Step(p.entry.time(), p.view) {
		switch op := op.(type) {
		case hostplan.Move:
			orders = append(orders, op)
			records = append(records, orderRecord(op.Machine, op.Upstream, at))
		case hostplan.Upkeep:
			orders = append(orders, op)
			records = append(records, orderRecord(op.Machine, op.Upstream, at))
		case hostplan.LogLine:
			if p.entry.world.trace != nil {
				p.entry.world.tracef("%s: %s %v", p.entry.name, op.Message, op.Args)
			}
		}
	}
	if len(orders) == 0 {
		return
	}
	p.record(records, func(err error) {
		for _, op := range orders {
			p.sendOrder(op, err)
		}
	})
}

func orderRecord(machine, upstream string, at int64) platform.Record {
	return platform.Record{Key: _orderKeyPrefix + machine, Value: fmt.Appendf(nil, "%d %s", at, upstream)}
}

// record appends records to _upkeepTopic, which the next planner loads, once earlier
// appends have ended.
func (p *planner) record(l []platform.Record, done func(error)) {
	if p.appending {
		p.queue = append(p.queue, func() { p.record(l, done) })
		return
	}
	p.appending = true
	w := p.entry.world
	a := serve.Append{Topic: _upkeepTopic, Producer: p.numbering.Next(), Records: l}
	call(p.entry, _store, _cloudTimeout, func(answer func(serve.Refusal, error)) {
		if err := w.storeError(p.entry.name); err != nil {
			answer(serve.Refusal{}, err)
			return
		}
		_, _, r := w.store.Append(a)
		if w.answerArrives() {
			answer(r, nil)
		}
	}, func(r serve.Refusal, err error) {
		if err == nil && r.Status != 0 {
			err = &platform.Error{Status: r.Status, Reason: r.Reason, Expected: r.Expected}
		}
		p.answered(err)
		p.appending = false
		done(err)
		if len(p.queue) > 0 {
			next := p.queue[0]
			p.queue = p.queue[1:]
			next()
		}
	})
}

// answered handles the store's answer to an append. A later planner has had one refused as fenced.
func (p *planner) answered(err error) {
	p.numbering.Answered(err)
	if platform.Reason(err) == platform.ReasonFenced {
		p.lose()
	}
}

// lose gives up the partition if it is held under the planner's token.
func (p *planner) lose() {
	if p.entry.partitions.Token(_plannerPartition) == p.token {
		p.entry.partitions.NoteLaterOwner(_plannerPartition)
	}
}

// sendOrder sends an order to the cloud interface, unless it could not be recorded or the
// entry's membership is no longer confirmed.
func (p *planner) sendOrder(op hostplan.Op, recorded error) {
	w, e := p.entry.world, p.entry
	name, pool, wave := "", "", int64(0)
	switch op := op.(type) {
	case hostplan.Move:
		name, pool = op.Machine, op.Pool
	case hostplan.Upkeep:
		name, wave = op.Machine, op.Wave
		pool = w.at(name).host.pool
	}
	if recorded != nil || w.now-e.confirmed >= member.MaxConfirmationAge {
		p.plan.HandleOrderResult(e.time(), name, hostplan.NotSent)
		return
	}
	call(e, _cloud, _cloudTimeout, func(answer func(bool, error)) {
		answer(true, w.order(name, e.name, p.token, pool, wave))
	}, func(_ bool, err error) {
		if p.isCurrent() {
			p.handleOrderResult(name, wave, err)
		}
	})
}

func (p *planner) handleOrderResult(name string, wave int64, err error) {
	r := hostplan.Done
	switch {
	case err == nil && wave > 0:
		p.record([]platform.Record{{Key: fmt.Sprintf("%d/%s", wave, name), Value: []byte{1}}}, func(error) {})
	case err == nil:
	case platform.Reason(err) == platform.ReasonFence:
		p.lose()
		r = hostplan.Unknown
	case platform.Status(err) == http.StatusConflict:
		r = hostplan.Busy
	default:
		r = hostplan.Unknown
	}
	p.plan.HandleOrderResult(p.entry.time(), name, r)
}
