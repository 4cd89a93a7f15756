package hostplan

import (
	"slices"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

// Settings of a Planner.
type Settings struct {
	// MoveTime and UpkeepTime are how long a host is unavailable for a move and for
	// an upkeep.
	MoveTime   time.Duration
	UpkeepTime time.Duration
	// OrdersPerS is how many orders for hosts the cloud interface accepts per second;
	// zero selects a default.
	OrdersPerS float64
	// Lease is the least time between the last order of one planner for a host and the
	// first order of the next planner for it. Until Lease has passed, the earlier order
	// may still be carried out.
	Lease time.Duration
}

// Pool is a pool as observed by the caller.
type Pool struct {
	Name    string
	Standby bool
	// Load is nil while the owner doesn't answer.
	Load *link.PoolLoad
}

// View is what the caller observed.
type View struct {
	Machines []platform.Machine
	// ListedAt is when the hosts were listed. If the last listing failed, that is before
	// the time of the step.
	ListedAt time.Time
	Pools    []Pool
}

// Op is an operation that the caller must carry out: a Move, Upkeep, WaveReport or
// LogLine.
type Op interface{ op() }

// Move orders a host to another pool, which ends the incarnation of its upstream.
// The caller passes the result to HandleOrderResult.
type Move struct{ Machine, Upstream, Pool string }

// Upkeep takes a host down for a wave, which ends the incarnation of its upstream.
// The caller passes the result to HandleOrderResult.
type Upkeep struct {
	Machine  string
	Upstream string
	Wave     int64
}

// WaveReport reports the progress of a wave to the operator.
type WaveReport struct {
	Wave      int64
	Completed bool
}

// LogLine is a decision to be logged; Args are alternating keys and values.
type LogLine struct {
	Message string
	Args    []any
}

func (Move) op() {}

func (Upkeep) op() {}

func (WaveReport) op() {}

func (LogLine) op() {}

// Planner plans the moves and upkeeps of all hosts. It isn't safe for concurrent
// use.
type Planner struct {
	settings Settings
	waves    []*wave
	tasks    map[string]*hostTask
	view     View
	byName   map[string]platform.Machine
	pools    map[string]*poolState
	ops      []Op
	// absent are the hosts that confirmedMissing was asked about and the list lacks.
	absent map[string]absence
	// startedAt is the time of the first step.
	startedAt time.Time
	// priorOrders are the last orders of previous planners, by host.
	priorOrders map[string]priorOrder
	// known holds since when incarnations are known that owners report, or reported lately.
	known map[incarnation]knowledge
	// ended are the upstreams whose incarnations have ended, by pool.
	ended map[string][]*link.Gone
	// tasksStarted is set when the last step started a task.
	tasksStarted bool
	// credit is how many orders may be sent, as of creditAt.
	credit   float64
	creditAt time.Time
	// summarisedAt is when the state of the pools was last logged.
	summarisedAt time.Time
}

// hostTask is a move or an upkeep in progress: wave is set for an upkeep and
// targetPool for a move. Neither is set after the order was refused or the host
// was busy.
type hostTask struct {
	machine    platform.Machine
	wave       int64
	targetPool string
	since      time.Time
	// ordering is set while the result of the order is pending.
	ordering bool
	// orderedAt is when the order was confirmed or refused, or the host was busy.
	orderedAt time.Time
	// retryAt is the earliest time to repeat the order. It is set while an order without a
	// result may still be carried out.
	retryAt time.Time
}

// orderSent reports whether the order may have been sent.
func (t *hostTask) orderSent() bool {
	return t.ordering || !t.retryAt.IsZero() || !t.orderedAt.IsZero()
}

// New returns a planner without waves.
func New(s Settings) *Planner {
	return &Planner{settings: s, tasks: make(map[string]*hostTask), pools: make(map[string]*poolState)}
}

// AddWave adds a wave that was announced at the time now. The upkeep of the hosts in
// begun has already begun. If the planner has the wave already, AddWave replaces its
// definition and keeps its due time and its begun hosts.
func (p *Planner) AddWave(now time.Time, w platform.Wave, begun []string) {
	for _, x := range p.waves {
		if x.Number == w.Number {
			x.Wave = w
			return
		}
	}
	n := &wave{Wave: w, due: now.Add(w.TimeLimit), begun: make(map[string]bool)}
	for _, m := range begun {
		n.begun[m] = true
	}
	p.waves = append(p.waves, n)
}

// LoadRequest returns the request for the load of a pool. It also informs the
// pool's owner of the upstreams to vacate, those that have ended, those due for
// upkeep, and the capacity that will arrive. The caller sets its token and sequence.
func (p *Planner) LoadRequest(now time.Time, pool string) *link.Load {
	l := &link.Load{
		Arrivals: p.arrivals(now, pool), Gone: p.ended[pool], AheadMs: (p.settings.MoveTime + _serveDelay).Milliseconds(),
	}
	for _, name := range sortedKeys(p.tasks) {
		t := p.tasks[name]
		// An upstream stays in Vacate after the order, as the list of hosts shows the
		// effect of the order with a delay.
		if t.machine.Pool == pool && t.machine.Upstream != "" && (t.wave != 0 || t.targetPool != "") {
			l.Vacate = append(l.Vacate, t.machine.Upstream)
			if !t.orderSent() {
				l.Reclaimable = append(l.Reclaimable, t.machine.Upstream)
			}
		}
	}
	for _, name := range sortedKeys(p.priorOrders) {
		u := p.priorOrders[name].upstream
		m := p.byName[name]
		// Before the first list, the host may be in any pool.
		inPool := len(p.byName) == 0 || m.Pool == pool && m.Upstream == u
		if u != "" && inPool && p.priorOrderPending(now, name) {
			// The upstream was vacant; the owner must place nothing on it, as the order
			// may still be carried out.
			l.Vacate = append(l.Vacate, u)
		}
	}
	l.Due = p.dueUpstreams(pool)
	l.Evict = p.evicted(now, pool)
	return l
}

// dueUpstreams lists the upstreams of a pool whose hosts a wave has yet to take
// down.
func (p *Planner) dueUpstreams(pool string) []string {
	var l []string
	for _, w := range p.waves {
		for _, name := range w.Machines {
			if m := p.byName[name]; m.Pool == pool && m.Upstream != "" && !w.begun[name] {
				l = append(l, m.Upstream)
			}
		}
	}
	return l
}

// Result is the result of an order.
type Result uint8

// Results of an order.
const (
	// Unknown means that the order may still be carried out. The planner repeats it once
	// the host is vacant or isn't up.
	Unknown Result = iota
	// Done means that the order was carried out.
	Done
	// Busy means that the host can't be ordered at the moment. The planner drops the
	// move or upkeep and may plan it anew.
	Busy
	// Refused means that the order can never be carried out.
	Refused
	// NotSent means that the order was never sent; the planner may send it in a later
	// step.
	NotSent
)

// _orderRetryDelay is the pause before an order is repeated.
const _orderRetryDelay = 250 * time.Millisecond

// HandleOrderResult processes the result of a Move or an Upkeep.
func (p *Planner) HandleOrderResult(now time.Time, machine string, r Result) {
	t := p.tasks[machine]
	if t == nil {
		return
	}
	t.ordering = false
	switch r {
	case Done:
		t.orderedAt = now
		if t.wave != 0 {
			p.markBegun(t.wave, machine)
		}
	case NotSent:
	case Unknown:
		t.retryAt = now.Add(_orderRetryDelay)
	case Busy, Refused:
		if r == Refused && t.wave != 0 {
			p.markBegun(t.wave, machine)
		}
		t.targetPool, t.wave = "", 0
		t.orderedAt = now
	}
}

// Step updates the planner with a view and returns the operations to carry out, in
// order.
func (p *Planner) Step(now time.Time, v View) []Op {
	p.ops, p.tasksStarted = nil, false
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	p.view = v
	p.byName = make(map[string]platform.Machine, len(v.Machines))
	for _, m := range v.Machines {
		p.byName[m.Name] = m
		delete(p.absent, m.Name)
	}
	p.refillOrderCredit(now)
	p.updatePools(now)
	p.updateWaveExtras()
	p.findEnded(now)
	p.advanceTasks(now)
	p.reportWaves(now)
	p.giveUpUpkeeps(now)
	p.planUpkeeps(now)
	p.planMoves(now)
	p.summarise(now)
	return p.ops
}

// _summaryInterval is the time between two log summaries of all pools.
const _summaryInterval = time.Second

// summarise logs the state of the pools.
func (p *Planner) summarise(now time.Time) {
	if now.Sub(p.summarisedAt) < _summaryInterval {
		return
	}
	p.summarisedAt = now
	for _, name := range sortedKeys(p.pools) {
		s := p.pools[name]
		p.emit(LogLine{"Pool state.", []any{
			"pool", name, "hosts", s.hosts, "away", s.unavailable, "need", s.need, "base", s.minNeed,
			"demand", s.load.GetDemand(), "expected", s.load.GetExpected(), "backlog", s.load.GetBacklog(),
			"waiting", s.load.GetWaiting(), "busy", s.load.GetBusy(), "lasting", s.load.GetLasting(),
			"capacity", s.load.GetCapacity(), "errands", len(p.tasks),
		}})
	}
}

func (p *Planner) emit(o Op) { p.ops = append(p.ops, o) }

// _taskTimeout is how long the planner waits for a host to become vacant for a move,
// and for the list to show a confirmed order as completed.
const _taskTimeout = 6 * time.Second

// advanceTasks sends the orders for vacant hosts and removes tasks that are
// completed, cancelled or timed out.
func (p *Planner) advanceTasks(now time.Time) {
	for _, name := range sortedKeys(p.tasks) {
		t := p.tasks[name]
		m, listed := p.byName[name]
		changed := m.State != platform.MachineUp || m.Pool != t.machine.Pool || m.Upstream != t.machine.Upstream
		if !t.ordering && p.view.ListedAt.Sub(t.retryAt) > p.settings.Lease+_listLag {
			t.retryAt = time.Time{} // The order can't be carried out any more.
		}
		repeat := !t.retryAt.IsZero()
		switch {
		case !listed:
			if p.confirmedMissing(name) {
				delete(p.tasks, name)
			}
		case !t.orderedAt.IsZero():
			// A list that was read before the order, or up to _listLag after it, may show the
			// host as it was before the order.
			d := p.view.ListedAt.Sub(t.orderedAt)
			if m.State == platform.MachineUp && d > _listLag || d > _taskTimeout {
				delete(p.tasks, name)
			}
		case t.ordering || now.Before(t.retryAt):
		case repeat && m.State != platform.MachineUp:
			// The repeated order ends nothing. If the first one was carried out, its result
			// confirms that.
			p.sendOrder(t)
		case !changed && p.isVacant(t):
			p.sendOrder(t)
		case repeat:
			// The order may still be carried out. Its host may no longer be vacant, as a
			// later owner may have placed a task on it.
		case changed || t.targetPool != "" && now.Sub(t.since) > _taskTimeout:
			delete(p.tasks, name)
		}
	}
}

// isVacant reports whether the upstream of a task is known to run nothing. A vacancy
// counts only while the owner's load is current, as a later owner may have placed a
// task on the host since.
func (p *Planner) isVacant(t *hostTask) bool {
	s := p.pools[t.machine.Pool]
	return t.machine.Upstream == "" || s.unused() || s.current && slices.Contains(s.load.GetVacant(), t.machine.Upstream)
}

// _listLag is how old the state of a host in the list may be.
const _listLag = time.Second

// sendOrder emits the order for a vacant host, unless credit is lacking or too many
// hosts of its wave are down.
func (p *Planner) sendOrder(t *hostTask) {
	name := t.machine.Name
	if t.wave == 0 {
		if p.takeOrderCredit() {
			t.ordering = true
			p.emit(Move{name, t.machine.Upstream, t.targetPool})
		}
		return
	}
	w := p.findWave(t.wave)
	// A repeated order isn't checked against MaxDown, as hostsDown already includes its
	// host.
	if w == nil || t.retryAt.IsZero() && p.hostsDown(w) >= w.MaxDown || !p.takeOrderCredit() {
		return
	}
	t.ordering = true
	p.emit(Upkeep{name, t.machine.Upstream, t.wave})
}

// startTask starts an upkeep if wave is set, and a move to a pool otherwise.
func (p *Planner) startTask(now time.Time, m platform.Machine, wave int64, to string) {
	t := &hostTask{machine: m, wave: wave, targetPool: to, since: now}
	p.tasks[m.Name] = t
	p.tasksStarted = true
	// A host of a standby pool runs nothing, so its order needs no vacancy report.
	if p.pools[m.Pool].unused() || m.Upstream == "" {
		p.sendOrder(t)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	l := make([]string, 0, len(m))
	for k := range m {
		l = append(l, k)
	}
	slices.Sort(l)
	return l
}
