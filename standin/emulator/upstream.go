package emulator

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"fescuelanding/platform"
)

const (
	// _heartbeatInterval is the time between an upstream's reports to the list. A report
	// expires after _missedHeartbeats intervals.
	_heartbeatInterval = 1500 * time.Millisecond
	_missedHeartbeats  = 3
	// _firstReport is the time from the start of an incarnation to its first report.
	_firstReport = 50 * time.Millisecond
	// _firstClock is the value in milliseconds at which an incarnation's clock begins.
	_firstClock = 1000
	// _stopTime is how long a run takes to stop.
	_stopTime = 400 * time.Millisecond
	// _maxLease is the longest lease.
	_maxLease = 10 * time.Second
	// _startupTime is how long a long-running task runs before it is available.
	_startupTime = 900 * time.Millisecond
)

// upstream emulates an upstream: it runs tasks under a lease and a fencing token.
type upstream struct {
	world   *World
	machine string
	report  platform.Upstream
	// startedAt is when its incarnation began, rate the speed of its clock relative to
	// world time.
	startedAt time.Duration
	rate      float64
	// firstClock is the value in milliseconds at which its incarnation's clock began. The incarnation reports
	// nothing before reportsFrom.
	firstClock  int64
	reportsFrom time.Duration
	// down is set from the end of an incarnation until the next one begins. The upstream
	// drops all calls meanwhile.
	down bool
	host host

	// token is the highest fencing token of the calls in this incarnation, deadline the
	// end of the lease by the upstream's clock in milliseconds.
	token         int64
	deadline      int64
	runs          map[string]*run
	ended         []platform.Ended
	lastEndNumber int64
	// leaseExpired is when the lease last expired.
	leaseExpired time.Duration
	// highestFinished is, by task, the highest run number that was stopped or has ended.
	highestFinished map[string]int64
	waiting         []*waitingPoll

	// Faults that last until a time: orders are executed late, half of the answers are
	// lost, or no run makes progress.
	lateUntil, answersLostUntil, stalledUntil time.Duration
	// executingLate is set during the execution of a late order.
	executingLate bool
}

// run is a run of a task on an upstream.
type run struct {
	// record is its record in the ledger.
	record   *runRecord
	task     string
	fails    bool
	stopping bool
	// gang is set for a member of a gang, which works once all members have started.
	gang *gang
}

// waitingPoll is a poll that waits for a run to end.
type waitingPoll struct{ answer func() }

func (u *upstream) clockMs() int64 {
	return u.firstClock + int64(float64((u.world.now-u.startedAt).Milliseconds())*u.rate)
}

// beginIncarnation ends all runs and begins a new incarnation under an ID.
func (u *upstream) beginIncarnation(id string) {
	var gangs []*gang
	for _, t := range sortedKeys(u.runs) {
		u.world.ledger.recordEnd(u.runs[t].record, "crashed")
		if g := u.runs[t].gang; g != nil {
			gangs = append(gangs, g)
		}
	}
	for _, e := range u.ended {
		u.world.ledger.recordLoss(u, e)
	}
	u.runs, u.highestFinished, u.ended, u.waiting = make(map[string]*run), make(map[string]int64), nil, nil
	u.token, u.lastEndNumber, u.deadline, u.startedAt, u.down = 0, 0, 0, u.world.now, false
	u.report.ID, u.report.StartUnixMs = id, u.world.unixMs()
	u.world.after(u.world.restarts.begin(u), func() {
		if u.report.ID == id {
			u.world.report(u)
		}
	})
	u.world.tracef("%s begins a new incarnation as %s", u.machine, id)
	for _, g := range gangs {
		g.abort()
	}
}

// refusal returns the error of a refused call.
func refusal(status int, reason string) error {
	return &platform.Error{Status: status, Reason: reason}
}

// check refuses calls that are meant for another incarnation or carry the fencing token
// of a former owner.
func (u *upstream) check(id string, token int64) error {
	if id != u.report.ID {
		return refusal(http.StatusMisdirectedRequest, "")
	}
	if token < u.token {
		return refusal(http.StatusConflict, platform.ReasonFence)
	}
	u.token = token
	return nil
}

func (u *upstream) start(target platform.Target, s platform.Start, by string) error {
	if err := u.check(target.ID, s.Token); err != nil {
		return err
	}
	if r := u.runs[s.Task]; r != nil && r.record.number == s.Run {
		return nil
	}
	d := u.world.ledger.task(s.Task, s.Spec)
	used := d.cpu
	for _, r := range u.runs {
		used += r.record.task.cpu
	}
	if err := u.world.policy.checkTicket(u.world, u, d, s.Ticket); err != nil {
		return err
	}
	reason := ""
	switch {
	case s.Run <= u.highestFinished[s.Task]:
		reason = platform.ReasonOld
	case s.DeadlineMs <= u.clockMs():
		reason = platform.ReasonLate
	case used > u.report.Capacity.MilliCPU && u.world.enforcesCapacity:
		reason = platform.ReasonRoom
	case used > u.report.Capacity.MilliCPU:
		u.world.ledger.addViolation("LIMIT", "%s run %d by %s raises the use of %s to %d milli-CPU, above its capacity", s.Task, s.Run, by, u.name(), used)
	}
	if reason == platform.ReasonOld || reason == platform.ReasonRoom || reason == "" {
		u.extend(s.DeadlineMs)
	}
	if reason != "" {
		return refusal(http.StatusConflict, reason)
	}
	if r := u.runs[s.Task]; r != nil {
		u.world.ledger.recordEnd(r.record, platform.EndStopped) // The upstream forgets it for the new one.
	}
	r := &run{
		task: s.Task, fails: d.failsOn(s.Run), record: u.world.ledger.recordStart(d, u, s.Run, by),
	}
	u.runs[s.Task] = r
	r.record.late = u.executingLate
	if d.crashes() {
		u.crashLater(r)
	}
	if d.def.GetGang() {
		u.world.joinGang(u, r, d)
		return nil
	}
	if !d.longRunning || r.fails {
		u.finishLater(r, d.duration)
	} else if left, exits := d.exitsAfter(s.Run); exits {
		u.finishLater(r, left)
	}
	return nil
}

// finishLater ends a run when its work is done, delayed by stalls of the upstream.
func (u *upstream) finishLater(r *run, left time.Duration) {
	u.world.after(left, func() {
		switch {
		case u.runs[r.task] != r || r.stopping:
		case u.world.now < u.stalledUntil:
			u.finishLater(r, u.stalledUntil-u.world.now)
		case r.fails:
			u.end(r, platform.EndFailed)
		default:
			u.end(r, platform.EndDone)
		}
	})
}

// extend extends the lease, which covers all runs.
func (u *upstream) extend(deadline int64) {
	d := min(deadline, u.clockMs()+_maxLease.Milliseconds())
	if d <= u.deadline {
		return
	}
	u.deadline = d
	left := time.Duration(float64(d-u.clockMs())/u.rate)*time.Millisecond + time.Millisecond
	since := u.startedAt
	u.world.after(left, func() {
		if u.startedAt != since || u.clockMs() < u.deadline {
			return
		}
		u.leaseExpired = u.world.now
		for _, t := range sortedKeys(u.runs) {
			u.world.ledger.recordLapse(u.runs[t].record, u)
			u.end(u.runs[t], platform.EndLapsed)
		}
	})
}

func (u *upstream) end(r *run, how platform.End) {
	delete(u.runs, r.task)
	u.highestFinished[r.task] = max(u.highestFinished[r.task], r.record.number)
	u.lastEndNumber++
	e := platform.Ended{Number: u.lastEndNumber, Task: r.task, Run: r.record.number, End: how}
	u.ended = append(u.ended, e)
	u.world.ledger.recordEnd(r.record, how)
	l := u.waiting
	u.waiting = nil
	for _, x := range l {
		x.answer()
	}
	if r.gang != nil {
		r.gang.abort()
	}
}

func (u *upstream) stop(target platform.Target, task string, number, token int64) error {
	if err := u.check(target.ID, token); err != nil {
		return err
	}
	u.highestFinished[task] = max(u.highestFinished[task], number)
	if r := u.runs[task]; r != nil && r.record.number <= number && !r.stopping {
		r.stopping = true
		u.world.ledger.recordStop(r.record, u, "a stop order")
		u.world.after(_stopTime, func() {
			if u.runs[task] == r {
				u.end(r, platform.EndStopped)
			}
		})
	}
	return nil
}

// hold extends the lease and answers with the upstream's runs: at once if ended runs are
// unacknowledged, otherwise when a run ends or the wait is over.
func (u *upstream) hold(target platform.Target, h platform.Hold, answer func(platform.UpstreamStatus, error)) {
	if err := u.check(target.ID, h.Token); err != nil {
		answer(platform.UpstreamStatus{}, err)
		return
	}
	if h.DeadlineMs > 0 && len(u.runs) > 0 {
		u.extend(h.DeadlineMs)
	}
	for len(u.ended) > 0 && u.ended[0].Number <= h.Acked {
		u.world.ledger.recordAck(u, u.ended[0])
		u.ended = u.ended[1:]
	}
	if len(u.ended) > 0 || h.Wait <= 0 {
		answer(u.status(), nil)
		return
	}
	x := &waitingPoll{}
	since := u.startedAt
	x.answer = func() {
		u.waiting = slices.DeleteFunc(u.waiting, func(y *waitingPoll) bool { return y == x })
		if u.startedAt == since && u.token <= h.Token {
			answer(u.status(), nil)
		}
	}
	u.waiting = append(u.waiting, x)
	u.world.after(h.Wait, func() {
		if slices.Contains(u.waiting, x) {
			x.answer()
		}
	})
}

// status lists the current runs and the ended runs that aren't acknowledged yet.
func (u *upstream) status() platform.UpstreamStatus {
	l := platform.UpstreamStatus{ClockMs: u.clockMs(), StartUnixMs: u.report.StartUnixMs, Ended: slices.Clone(u.ended)}
	for _, t := range sortedKeys(u.runs) {
		r, p := u.runs[t], 100
		if r.record.task.longRunning && u.world.now-r.record.at < _startupTime {
			p = 50
		}
		if !r.record.task.longRunning {
			p = min(99, int((u.world.now-r.record.at)*100/max(r.record.task.duration, 1)))
		}
		if u.world.now < u.stalledUntil {
			p = 1
		}
		l.Running = append(l.Running, platform.Running{Task: t, Run: r.record.number, Percent: p})
	}
	return l
}

// serve executes a call and reports to f whether its answer arrives. An upstream that is
// down drops the call. Until lateUntil, an order is executed late and its answer is lost.
// Until answersLostUntil, half of the calls are executed at once and their answers lost.
// With stale calls, the next incarnation may execute a late call, also one that found the upstream down.
func (u *upstream) serve(order bool, f func(answer bool)) {
	w := u.world
	switch {
	case w.restarts.stale(order, w.now):
		w.after(w.between(200*time.Millisecond, _maxLate), func() { u.serveLate(f) })
	case u.down:
	case order && (w.now < u.lateUntil || w.lateOrders.late(w.now)) || w.now < w.lateCallsUntil && w.rand.Float64() < w.lateCalls:
		since := u.startedAt
		w.after(w.between(200*time.Millisecond, _maxLate), func() {
			if u.startedAt == since || w.settings.StaleCalls {
				u.serveLate(f)
			}
		})
	case w.now < u.answersLostUntil && w.rand.IntN(2) == 0:
		f(false)
	default:
		f(true)
	}
}

// serveLate executes a late call, unless the upstream is down.
func (u *upstream) serveLate(f func(answer bool)) {
	if !u.down {
		u.world.tracef("%s executes a late call", u.name())
		u.executingLate = true
		f(false)
		u.executingLate = false
	}
}

// _maxLate is the longest delay after which an unanswered order is executed.
const _maxLate = 4 * time.Second

// name returns the machine and the ID of the current incarnation, for messages.
func (u *upstream) name() string { return fmt.Sprintf("%s(%s)", u.machine, u.report.ID) }
