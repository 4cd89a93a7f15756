package site

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

// Behaviour says how the tasks of a job behave. A job's spec holds it as JSON.
type Behaviour struct {
	// Millis is the duration of a run in milliseconds.
	Millis int `json:"ms"`
	// Fails is the number of runs of each task that fail before one completes.
	Fails int `json:"fails"`
	// Exits is the number of runs of each long-running task that end as done after Millis.
	Exits int `json:"exits,omitempty"`
	// Note is a text without meaning.
	Note string `json:"note,omitempty"`
}

// Upstream emulates an upstream: it runs tasks under a lease and a fencing token.
type Upstream struct {
	site    *Site
	machine string

	mu sync.Mutex
	// wake is closed and replaced when a run ends, which wakes the waiting polls.
	wake   chan struct{}
	report platform.Upstream
	// began is when the incarnation began, clockBegan what its clock said then, in milliseconds.
	began      time.Time
	clockBegan int64
	// token is the highest fencing token of the calls in this incarnation.
	token         int64
	runs          map[string]*running
	ended         []*endRecord
	lastEndNumber int64
	// deadline is the end of the lease by the upstream's clock in milliseconds.
	deadline int64
	// lapse is the time at which the lease ends; nil before the first lease.
	lapse atomic.Pointer[time.Time]
	// missedReports counts the reports that weren't sent since the last one.
	missedReports int
	// highestFinished is, by task, the highest run number that was stopped or has ended.
	highestFinished map[string]int64
	// startDelay delays the next start, which then gets no answer; zero for no fault.
	startDelay time.Duration
	// strays is set if that start also reaches a later incarnation.
	strays bool
	// down is set while the upstream can't be reached, crashed if it runs nothing meanwhile.
	down, crashed bool
}

// running is a current run on an upstream.
type running struct {
	task        string
	run         int64
	began       time.Time
	duration    time.Duration
	fails       bool
	longRunning bool
	// exits is set for a run of a long-running task that ends as done.
	exits bool
	// checkpoint is the one that the run began with, checkpointing is set if it reports further ones.
	checkpoint    string
	checkpointing bool
	size          platform.Capacity
	// gang is set for a member of a gang, which works once all members have started.
	gang *gang
}

// working reports whether the run does its work. A member of a gang works from the time at
// which all members have started.
func (r *running) working() bool {
	if r.gang == nil {
		return true
	}
	t := r.gang.began.Load()
	if t != nil {
		r.began = *t
	}
	return t != nil
}

// _checkpointInterval is the time of work between two checkpoints.
const _checkpointInterval = 100 * time.Millisecond

// report returns the run's latest checkpoint, which is recorded with the site.
func (r *running) report(s *Site) string {
	if n := time.Since(r.began) / _checkpointInterval; r.checkpointing && r.working() && n > 0 {
		r.checkpoint = fmt.Sprintf("%s/%d@%d", r.task, r.run, n)
		s.recordCheckpoint(r.task, r.checkpoint)
	}
	return r.checkpoint
}

func newUpstream(s *Site, machine string) *Upstream {
	return &Upstream{
		site: s, machine: machine, wake: make(chan struct{}), began: time.Now(),
		runs: make(map[string]*running), highestFinished: make(map[string]int64),
	}
}

// Handler returns the HTTP interface of the upstream for an entry. The name is empty if the
// entry isn't known.
func (u *Upstream) Handler(entry string) http.Handler {
	h := &serve.Upstream{
		ID: u.id, Clock: u.clock, Stop: u.stop, Hold: u.hold, Pace: u.pace,
		Start:     func(s platform.Start) serve.Refusal { return u.start(entry, s) },
		Intercept: func(_ http.ResponseWriter, r *http.Request) bool { return u.intercept(entry, r) },
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer keepSilent(r)
		h.ServeHTTP(w, r)
	})
}

func (u *Upstream) id() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.report.ID
}

// address returns the address in the reports, which never changes.
func (u *Upstream) address() string { return u.report.Address }

// beganAt returns when the incarnation began.
func (u *Upstream) beganAt() time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.began
}

// isIncarnation reports whether the incarnation is still the one that began at a time.
func (u *Upstream) isIncarnation(began time.Time) bool { return u.beganAt().Equal(began) }

func (u *Upstream) clock() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.now()
}

func (u *Upstream) now() int64 { return u.clockBegan + time.Since(u.began).Milliseconds() }

// extendLease extends the lease up to a time of the upstream's clock, but not beyond the longest
// lease. It never shortens it.
func (u *Upstream) extendLease(deadline int64) {
	u.deadline = max(u.deadline, min(deadline, u.now()+_maxLease.Milliseconds()))
	t := u.began.Add(time.Duration(u.deadline-u.clockBegan) * time.Millisecond)
	u.lapse.Store(&t)
}

// lapsed reports whether the lease has ended. It needs no lock.
func (u *Upstream) lapsed(now time.Time) bool {
	t := u.lapse.Load()
	return t == nil || !now.Before(*t)
}

// fenced reports whether a fencing token is lower than the highest one so far. A higher
// token becomes the highest.
func (u *Upstream) fenced(token int64) bool {
	u.token = max(u.token, token)
	return token < u.token
}

func conflict(reason string) serve.Refusal {
	return serve.Refusal{Status: http.StatusConflict, Reason: reason}
}

func (u *Upstream) start(entry string, s platform.Start) serve.Refusal {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.endFinishedRuns()
	if u.fenced(s.Token) {
		return conflict(platform.ReasonFence)
	}
	if r := u.runs[s.Task]; r != nil && r.run == s.Run {
		return serve.Refusal{}
	}
	if s.Run <= u.highestFinished[s.Task] {
		return conflict(platform.ReasonOld)
	}
	if s.DeadlineMs <= u.now() {
		return conflict(platform.ReasonLate)
	}
	d := u.site.task(s.Task)
	u.site.checkAsked(d, entry, s)
	if d == nil {
		return serve.Refusal{Status: http.StatusBadRequest}
	}
	if f := u.used(); f.MilliCPU+d.size.MilliCPU > u.report.Capacity.MilliCPU {
		return conflict(platform.ReasonRoom)
	}
	u.checkAntiAffinity(d)
	if d.policy && s.Ticket != ticket(platform.StepName(d.name.Job, d.name.Occurrence, d.name.Step), u.report.ID) {
		return conflict(platform.ReasonTicket)
	}
	r := &running{
		task: s.Task, run: s.Run, began: time.Now(), duration: time.Duration(d.behaviour.Millis) * time.Millisecond,
		longRunning: d.longRunning, size: d.size,
		checkpoint: s.Checkpoint, checkpointing: d.checkpointing,
	}
	n := d.recordStart(u, entry, s.Run)
	r.fails, r.exits = n <= d.behaviour.Fails, d.longRunning && n <= d.behaviour.Exits
	u.extendLease(s.DeadlineMs)
	u.runs[s.Task] = r
	if d.gang > 0 {
		u.site.join(d, s.Run, r)
		time.AfterFunc(_gangTimeout, u.lockAndEndFinishedRuns)
		return serve.Refusal{}
	}
	time.AfterFunc(r.duration, u.lockAndEndFinishedRuns)
	return serve.Refusal{}
}

// lockAndEndFinishedRuns is endFinishedRuns for callers that don't hold the lock. A run that
// ends wakes the waiting polls.
func (u *Upstream) lockAndEndFinishedRuns() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.endFinishedRuns()
}

// endFinishedRuns ends all runs if the lease has expired, otherwise those whose work is
// done.
func (u *Upstream) endFinishedRuns() {
	if u.now() >= u.deadline {
		u.site.voidEnds(u.ended)
	}
	for _, r := range u.runs {
		switch {
		case u.now() >= u.deadline:
			u.end(r, platform.EndLapsed)
		case r.gang != nil && r.gang.broken.Load():
			u.end(r, platform.EndBroken)
		case !r.working() && time.Since(r.began) >= _gangTimeout:
			u.end(r, platform.EndAlone)
		case r.longRunning && !r.exits || !r.working() || time.Since(r.began) < r.duration:
		case r.fails:
			u.end(r, platform.EndFailed)
		default:
			u.end(r, platform.EndDone)
		}
	}
}

func (u *Upstream) end(r *running, how platform.End) {
	delete(u.runs, r.task)
	u.highestFinished[r.task] = max(u.highestFinished[r.task], r.run)
	u.lastEndNumber++
	e := &endRecord{Ended: platform.Ended{Number: u.lastEndNumber, Task: r.task, Run: r.run, End: how, Checkpoint: r.report(u.site)}, upstream: u}
	u.ended = append(u.ended, e)
	u.site.recordEnd(e)
	close(u.wake)
	u.wake = make(chan struct{})
}

func (u *Upstream) used() platform.Capacity {
	var c platform.Capacity
	for _, r := range u.runs {
		c.MilliCPU += r.size.MilliCPU
	}
	return c
}

func (u *Upstream) stop(task string, run, token int64) serve.Refusal {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.fenced(token) {
		return conflict(platform.ReasonFence)
	}
	u.endFinishedRuns()
	u.highestFinished[task] = max(u.highestFinished[task], run)
	if r := u.runs[task]; r != nil && r.run <= run {
		u.site.recordOrder(task, u.down)
		u.end(r, platform.EndStopped)
	}
	return serve.Refusal{}
}

func (u *Upstream) pace(string, int64, int64, int) serve.Refusal { return serve.Refusal{} }

func (u *Upstream) hold(h platform.Hold) (platform.UpstreamStatus, serve.Refusal) {
	t := time.NewTimer(h.Wait)
	defer t.Stop()
	var began time.Time
	for {
		u.mu.Lock()
		if began.IsZero() {
			began = u.began
		}
		if u.down || !u.began.Equal(began) {
			crashed := u.crashed
			u.mu.Unlock()
			abort(crashed) // The connections of an incarnation end with it.
		}
		u.endFinishedRuns()
		if u.fenced(h.Token) {
			u.mu.Unlock()
			return platform.UpstreamStatus{}, conflict(platform.ReasonFence)
		}
		u.extendLease(h.DeadlineMs)
		u.forget(h.Acked)
		h.Acked = 0
		l, wake, wait := u.status(), u.wake, h.Wait
		u.mu.Unlock()
		if len(l.Ended) > 0 || wait <= 0 {
			return l, serve.Refusal{}
		}
		select {
		case <-wake:
		case <-t.C:
			h.Wait = 0
		}
	}
}

// forget drops the ends up to a number. Only ends that precede the acknowledgement count:
// it may be meant for the former incarnation, and later ends of this one have low numbers.
func (u *Upstream) forget(acked int64) {
	for len(u.ended) > 0 && u.ended[0].Number <= acked {
		u.site.recordAck(u.ended[0])
		u.ended = u.ended[1:]
	}
}

// status lists the current runs and the ended runs that aren't acknowledged yet.
func (u *Upstream) status() platform.UpstreamStatus {
	l := platform.UpstreamStatus{ClockMs: u.now(), StartUnixMs: u.report.StartUnixMs, Ended: []platform.Ended{}}
	for _, e := range u.ended {
		l.Ended = append(l.Ended, e.Ended)
	}
	for _, r := range u.runs {
		p := 100
		if !r.longRunning && r.duration > 0 {
			p = int(time.Since(r.began) * 100 / r.duration)
		}
		l.Running = append(l.Running, platform.Running{Task: r.task, Run: r.run, Checkpoint: r.report(u.site), Percent: p})
	}
	return l
}

// sendHeartbeat writes the upstream's report to the list, unless it is down or has no ID.
// An upstream that is down is dropped from the list after some missed reports.
func (u *Upstream) sendHeartbeat() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.report.ID == "" {
		return
	}
	if u.down {
		if u.missedReports++; u.missedReports == _maxMissedReports {
			u.site.store.Put(platform.TopicUpstreams, platform.Record{Key: u.report.ID})
		}
		return
	}
	u.missedReports = 0
	u.report.Sequence++
	u.report.ClockMs = u.now()
	u.site.store.Put(platform.TopicUpstreams, serve.Report(u.report))
}

// ticket returns the ticket by which the advice service admits a step to an upstream.
func ticket(step, upstream string) string { return fmt.Sprintf("%s@%s", step, upstream) }
