package emulator

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"fescuelanding/platform"
)

const (
	// _heartbeat is between an upstream's entries in the list, which lapse after
	// _heartbeats of silence.
	_heartbeat  = 1500 * time.Millisecond
	_heartbeats = 3
	// _stopTime is how long a stop takes.
	_stopTime = 400 * time.Millisecond
	// _holdMax is the longest lease.
	_holdMax = 10 * time.Second
	// _startup is how long a task that lasts takes until it is at work.
	_startup = 900 * time.Millisecond
)

// upstream emulates an executor.
type upstream struct {
	world   *World
	machine string
	report  platform.Upstream
	// since is when its life began, rate that of its clock.
	since time.Duration
	rate  float64
	down  bool
	host  host

	token    int64
	deadline int64
	runs     map[string]*run
	ended    []platform.Ended
	lastEnd  int64
	// lapsed is when the lease ran out last.
	lapsed time.Duration
	// over is the highest run of a task that was stopped or has ended.
	over    map[string]int64
	waiting []*wait

	// Faults, until a time: orders are carried out late, answers lost, or all runs
	// stand still.
	late, mute, still time.Duration
	// heldUp is set while an order is carried out late.
	heldUp bool
}

// run is a run on an upstream.
type run struct {
	// entry is its start in the ledger, with the task.
	entry    *started
	task     string
	fails    bool
	stopping bool
	// gang is set for a member of one: it works from when all are there.
	gang *gang
}

// wait is a look that waits for an end.
type wait struct{ answer func() }

func (u *upstream) clockMs() int64 {
	return 1000 + int64(float64((u.world.now-u.since).Milliseconds())*u.rate)
}

// begin starts a life.
func (u *upstream) begin(id string) {
	var gangs []*gang
	for _, t := range sortedKeys(u.runs) {
		u.world.ledger.stop(u.runs[t].entry, "crashed")
		if g := u.runs[t].gang; g != nil {
			gangs = append(gangs, g)
		}
	}
	for _, e := range u.ended {
		u.world.ledger.forget(u, e)
	}
	u.runs, u.over, u.ended, u.waiting = make(map[string]*run), make(map[string]int64), nil, nil
	u.token, u.lastEnd, u.deadline, u.since, u.down = 0, 0, 0, u.world.now, false
	u.report.ID, u.report.StartUnixMs = id, u.world.unixMs()
	u.world.say("%s begins as %s", u.machine, id)
	for _, g := range gangs {
		g.breakUp()
	}
}

// refused is the error of a refusal.
func refused(status int, reason string) error {
	return &platform.Error{Status: status, Reason: reason}
}

// check refuses calls for another life, and those of a former owner.
func (u *upstream) check(id string, token int64) error {
	if id != u.report.ID {
		return refused(http.StatusMisdirectedRequest, "")
	}
	if token < u.token {
		return refused(http.StatusConflict, platform.ReasonFence)
	}
	u.token = token
	return nil
}

func (u *upstream) start(target platform.Target, s platform.Start, by string) error {
	if err := u.check(target.ID, s.Token); err != nil {
		return err
	}
	if r := u.runs[s.Task]; r != nil && r.entry.number == s.Run {
		return nil
	}
	d := u.world.ledger.task(s.Task, s.Spec)
	used := d.cpu
	for _, r := range u.runs {
		used += r.entry.task.cpu
	}
	reason := ""
	switch {
	case s.Run <= u.over[s.Task]:
		reason = platform.ReasonOld
	case s.DeadlineMs <= u.clockMs():
		reason = platform.ReasonLate
	case used > u.report.Capacity.MilliCPU && u.world.guarded:
		reason = platform.ReasonRoom
	case used > u.report.Capacity.MilliCPU:
		u.world.ledger.broken("LIMIT", "%s run %d by %s brings %s to %d", s.Task, s.Run, by, u.name(), used)
	}
	if reason == platform.ReasonOld || reason == platform.ReasonRoom || reason == "" {
		u.extend(s.DeadlineMs)
	}
	if reason != "" {
		return refused(http.StatusConflict, reason)
	}
	r := &run{
		task: s.Task, fails: d.failsOn(s.Run), entry: u.world.ledger.start(d, u, s.Run, by),
	}
	u.runs[s.Task] = r
	if d.def.GetGang() {
		u.world.join(u, r, d)
		return nil
	}
	if !d.forever || r.fails {
		u.finishLater(r, d.lasts)
	}
	return nil
}

// finishLater ends a run once its work is done, later where it stood still.
func (u *upstream) finishLater(r *run, left time.Duration) {
	u.world.after(left, func() {
		switch {
		case u.runs[r.task] != r || r.stopping:
		case u.world.now < u.still:
			u.finishLater(r, u.still-u.world.now)
		case r.fails:
			u.end(r, platform.EndFailed)
		default:
			u.end(r, platform.EndDone)
		}
	})
}

// extend sets the lease of all that runs.
func (u *upstream) extend(deadline int64) {
	d := min(deadline, u.clockMs()+_holdMax.Milliseconds())
	if d <= u.deadline {
		return
	}
	u.deadline = d
	left := time.Duration(float64(d-u.clockMs())/u.rate)*time.Millisecond + time.Millisecond
	since := u.since
	u.world.after(left, func() {
		if u.since != since || u.clockMs() < u.deadline {
			return
		}
		u.lapsed = u.world.now
		for _, t := range sortedKeys(u.runs) {
			u.end(u.runs[t], platform.EndLapsed)
		}
	})
}

func (u *upstream) end(r *run, how platform.End) {
	delete(u.runs, r.task)
	u.over[r.task] = max(u.over[r.task], r.entry.number)
	u.lastEnd++
	e := platform.Ended{Number: u.lastEnd, Task: r.task, Run: r.entry.number, End: how}
	u.ended = append(u.ended, e)
	u.world.ledger.stop(r.entry, how)
	l := u.waiting
	u.waiting = nil
	for _, x := range l {
		x.answer()
	}
	if r.gang != nil {
		r.gang.breakUp()
	}
}

func (u *upstream) stop(target platform.Target, task string, number, token int64) error {
	if err := u.check(target.ID, token); err != nil {
		return err
	}
	u.over[task] = max(u.over[task], number)
	if r := u.runs[task]; r != nil && r.entry.number <= number && !r.stopping {
		r.stopping = true
		u.world.ledger.ordered(r.entry, u, "a stop")
		u.world.after(_stopTime, func() {
			if u.runs[task] == r {
				u.end(r, platform.EndStopped)
			}
		})
	}
	return nil
}

// hold extends leases and answers with a look, at once or when a run ends.
func (u *upstream) hold(target platform.Target, h platform.Hold, answer func(platform.UpstreamStatus, error)) {
	if err := u.check(target.ID, h.Token); err != nil {
		answer(platform.UpstreamStatus{}, err)
		return
	}
	if h.DeadlineMs > 0 && len(u.runs) > 0 {
		u.extend(h.DeadlineMs)
	}
	for len(u.ended) > 0 && u.ended[0].Number <= h.Acked {
		u.world.ledger.ack(u, u.ended[0])
		u.ended = u.ended[1:]
	}
	if len(u.ended) > 0 || h.Wait <= 0 {
		answer(u.look(), nil)
		return
	}
	x := &wait{}
	since := u.since
	x.answer = func() {
		u.waiting = slices.DeleteFunc(u.waiting, func(y *wait) bool { return y == x })
		if u.since == since && u.token <= h.Token {
			answer(u.look(), nil)
		}
	}
	u.waiting = append(u.waiting, x)
	u.world.after(h.Wait, func() {
		if slices.Contains(u.waiting, x) {
			x.answer()
		}
	})
}

// look lists what runs and what has ended.
func (u *upstream) look() platform.UpstreamStatus {
	l := platform.UpstreamStatus{ClockMs: u.clockMs(), StartUnixMs: u.report.StartUnixMs, Ended: slices.Clone(u.ended)}
	for _, t := range sortedKeys(u.runs) {
		r, p := u.runs[t], 100
		if r.entry.task.forever && u.world.now-r.entry.at < _startup {
			p = 50
		}
		if !r.entry.task.forever {
			p = min(99, int((u.world.now-r.entry.at)*100/max(r.entry.task.lasts, 1)))
		}
		if u.world.now < u.still {
			p = 1
		}
		l.Running = append(l.Running, platform.Running{Task: t, Run: r.entry.number, Percent: p})
	}
	return l
}

// serve carries a call out: at once, late and without an answer, or with the
// answer lost.
func (u *upstream) serve(order bool, f func(answer bool)) {
	w := u.world
	switch {
	case u.down:
	case order && w.now < u.late:
		since := u.since
		w.after(w.between(200*time.Millisecond, _maxLate), func() {
			if u.since == since && !u.down {
				u.heldUp = true
				f(false)
				u.heldUp = false
			}
		})
	case w.now < u.mute && w.rand.IntN(2) == 0:
		f(false)
	default:
		f(true)
	}
}

// _maxLate is how late an unanswered order may be carried out.
const _maxLate = 4 * time.Second

// name is that of its life, for messages.
func (u *upstream) name() string { return fmt.Sprintf("%s(%s)", u.machine, u.report.ID) }
