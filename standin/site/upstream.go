package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

// Behaviour is what a task does, written in a job's spec as JSON.
type Behaviour struct {
	Millis int `json:"ms"`
	// Fails is how many runs of each task fail.
	Fails int `json:"fails"`
}

// Upstream stands in for an executor.
type Upstream struct {
	site    *Site
	machine string

	mu       sync.Mutex
	wake     chan struct{}
	report   platform.Upstream
	began    time.Time
	token    int64
	runs     map[string]*running
	ended    []platform.Ended
	lastEnd  int64
	deadline int64
	// highest run that was stopped or has ended, by task.
	over map[string]int64
	// late is how long the next start waits, unanswered, before it is carried
	// out.
	late time.Duration
	down bool
}

// running is a run on an upstream.
type running struct {
	task       string
	run        int64
	began      time.Time
	lasts      time.Duration
	fails      bool
	forever    bool
	checkpoint string
	size       platform.Capacity
	// gang is set for a member of one: it works from the time that all are
	// there.
	gang *gang
}

// joined reports whether the run works: a member of a gang does once all are
// there.
func (r *running) joined() bool {
	if r.gang == nil {
		return true
	}
	t := r.gang.began.Load()
	if t != nil {
		r.began = *t
	}
	return t != nil
}

func newUpstream(s *Site, machine string) *Upstream {
	return &Upstream{
		site: s, machine: machine, wake: make(chan struct{}), began: time.Now(),
		runs: make(map[string]*running), over: make(map[string]int64),
	}
}

// Handler returns the upstream's interface.
func (u *Upstream) Handler() http.Handler {
	return &serve.Upstream{
		ID: u.id, Clock: u.clock, Start: u.start, Stop: u.stop, Hold: u.hold, Pace: u.pace, Intercept: u.before,
	}
}

func (u *Upstream) id() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.report.ID
}

func (u *Upstream) clock() int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.now()
}

func (u *Upstream) now() int64 { return time.Since(u.began).Milliseconds() }

// before plays a dead upstream and late orders.
func (u *Upstream) before(w http.ResponseWriter, r *http.Request) bool {
	u.mu.Lock()
	down, late := u.down, u.late
	if late > 0 && r.URL.Path == "/api/run-start" {
		u.late = 0
	} else {
		late = 0
	}
	u.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	if late > 0 {
		q := r.Clone(r.Context())
		var b json.RawMessage
		if json.NewDecoder(r.Body).Decode(&b) == nil {
			go u.carryOutLate(q, b, late)
		}
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	return false
}

// carryOutLate starts a run some time after its order, unasked by then.
func (u *Upstream) carryOutLate(r *http.Request, body []byte, after time.Duration) {
	time.Sleep(after)
	var s struct {
		Task       string `json:"task"`
		Run        int64  `json:"run"`
		Spec       string `json:"spec"`
		DeadlineMs int64  `json:"deadlineMs"`
		Token      int64  `json:"fencingToken"`
	}
	if json.Unmarshal(body, &s) != nil || r.Header.Get("Expect-Instance") != u.id() {
		return
	}
	f := u.start(platform.Start{Task: s.Task, Run: s.Run, Spec: s.Spec, DeadlineMs: s.DeadlineMs, Token: s.Token})
	u.site.say("late order of %s: %s", s.Task, refusal(f))
}

func refusal(f serve.Refusal) string {
	if f.Status == 0 {
		return "carried out"
	}
	return "refused (" + f.Reason + ")"
}

// fenced takes in a token and reports whether it is too low.
func (u *Upstream) fenced(token int64) bool {
	u.token = max(u.token, token)
	return token < u.token
}

func conflict(reason string) serve.Refusal {
	return serve.Refusal{Status: http.StatusConflict, Reason: reason}
}

func (u *Upstream) start(s platform.Start) serve.Refusal {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle()
	if u.fenced(s.Token) {
		return conflict(platform.ReasonFence)
	}
	if r := u.runs[s.Task]; r != nil && r.run == s.Run {
		return serve.Refusal{}
	}
	if s.Run <= u.over[s.Task] {
		return conflict(platform.ReasonOld)
	}
	if s.DeadlineMs <= u.now() {
		return conflict(platform.ReasonLate)
	}
	d := u.site.task(s.Task)
	if d == nil {
		return serve.Refusal{Status: http.StatusBadRequest}
	}
	if f := u.used(); f.MilliCPU+d.size.MilliCPU > u.report.Capacity.MilliCPU {
		return conflict(platform.ReasonRoom)
	}
	if d.policy && s.Ticket != ticket(platform.StepName(d.name.Job, d.name.Occurrence, d.name.Step), u.report.ID) {
		return conflict(platform.ReasonTicket)
	}
	r := &running{
		task: s.Task, run: s.Run, began: time.Now(), lasts: time.Duration(d.behaviour.Millis) * time.Millisecond,
		fails: d.begin(u, s.Run), forever: d.lasts, checkpoint: s.Checkpoint, size: d.size,
	}
	u.deadline = max(u.deadline, s.DeadlineMs)
	u.runs[s.Task] = r
	if d.gang > 0 {
		u.site.join(d, s.Run, r)
		return serve.Refusal{}
	}
	time.AfterFunc(r.lasts, u.stir)
	return serve.Refusal{}
}

// stir has those who wait look again.
func (u *Upstream) stir() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.settle()
}

// settle ends what is over.
func (u *Upstream) settle() {
	for _, r := range u.runs {
		switch {
		case u.now() >= u.deadline:
			u.end(r, platform.EndLapsed)
		case r.forever || !r.joined() || time.Since(r.began) < r.lasts:
		case r.fails:
			u.end(r, platform.EndFailed)
		default:
			u.end(r, platform.EndDone)
		}
	}
}

func (u *Upstream) end(r *running, how platform.End) {
	delete(u.runs, r.task)
	u.over[r.task] = max(u.over[r.task], r.run)
	u.lastEnd++
	u.ended = append(u.ended, platform.Ended{Number: u.lastEnd, Task: r.task, Run: r.run, End: how})
	u.site.finish(r.task, r.run, how)
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
	u.settle()
	u.over[task] = max(u.over[task], run)
	if r := u.runs[task]; r != nil && r.run <= run {
		u.end(r, platform.EndStopped)
	}
	return serve.Refusal{}
}

func (u *Upstream) pace(string, int64, int64, int) serve.Refusal { return serve.Refusal{} }

func (u *Upstream) hold(h platform.Hold) (platform.UpstreamStatus, serve.Refusal) {
	t := time.NewTimer(h.Wait)
	defer t.Stop()
	first := true
	for {
		u.mu.Lock()
		u.settle()
		if u.fenced(h.Token) {
			u.mu.Unlock()
			return platform.UpstreamStatus{}, conflict(platform.ReasonFence)
		}
		if first {
			u.deadline = max(u.deadline, h.DeadlineMs)
			first = false
		}
		for len(u.ended) > 0 && u.ended[0].Number <= h.Acked {
			u.ended = u.ended[1:]
		}
		l, wake, wait := u.look(), u.wake, h.Wait
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

// look lists what runs and what has ended.
func (u *Upstream) look() platform.UpstreamStatus {
	l := platform.UpstreamStatus{ClockMs: u.now(), StartUnixMs: u.report.StartUnixMs, Ended: append([]platform.Ended{}, u.ended...)}
	for _, r := range u.runs {
		p := 100
		if !r.forever && r.lasts > 0 {
			p = int(time.Since(r.began) * 100 / r.lasts)
		}
		l.Running = append(l.Running, platform.Running{Task: r.task, Run: r.run, Percent: p})
	}
	return l
}

// beat writes the upstream's entry in the list.
func (u *Upstream) beat() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down || u.report.ID == "" {
		return
	}
	u.report.Sequence++
	u.report.ClockMs = u.now()
	u.site.store.Put(platform.TopicUpstreams, serve.Report(u.report))
}

// rebirth ends all that runs and starts anew, under its ID or another.
func (u *Upstream) rebirth(id, pool string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, r := range u.runs {
		u.site.finish(r.task, r.run, "crashed")
	}
	u.runs, u.over, u.ended = make(map[string]*running), make(map[string]int64), nil
	u.token, u.lastEnd, u.deadline, u.began, u.down = 0, 0, 0, time.Now(), false
	u.report.ID, u.report.Pool, u.report.StartUnixMs = id, pool, time.Now().UnixMilli()
}

// ticket is the advice service's word for a step on an upstream.
func ticket(step, upstream string) string { return fmt.Sprintf("%s@%s", step, upstream) }
