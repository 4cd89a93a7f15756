package scheduler

import (
	"net/http"
	"slices"
	"time"

	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// list takes in the platform's list of the pool's upstreams.
func (s *Scheduler) list(now time.Time, all []platform.Upstream) {
	seen := make(map[string]bool, len(all))
	s.forgetDead(all)
	defer func() {
		if !s.listed {
			s.listed = true
			s.answerWaiting(now)
		}
	}()
	for _, u := range all {
		if born, ok := s.dead[u.ID]; ok && u.Born <= born {
			continue
		}
		seen[u.ID] = true
		h := s.hosts.get(u.ID)
		switch {
		case h == nil:
			s.hosts.add(newHost(u, now))
			s.note("Upstream listed.", "", "upstream", u.ID, "machine", u.Machine, "born", u.Born, "draining", u.Draining)
			s.replan = true
		case u.Born > h.born && h.born != 0:
			// What of this owner's is in the new life, a look will tell.
			h.list(u, now)
			h.gone = false
			h.lookDue, h.failed = now, max(h.failed, 1)
		default:
			s.relist(now, h, u)
		}
	}
	for _, h := range s.hosts.all() {
		id := h.up.ID
		if h.listed && !seen[id] {
			h.listed, h.unlistedAt = false, now
			h.lookDue = now
			s.note("Upstream no longer listed.", "", "upstream", id, "runs", len(h.runs))
		}
		if !h.listed {
			s.bury(h)
		}
	}
}

// forgetDead forgets upstreams that the list no longer has.
func (s *Scheduler) forgetDead(all []platform.Upstream) {
	for id := range s.dead {
		if !slices.ContainsFunc(all, func(u platform.Upstream) bool { return u.ID == id }) {
			delete(s.dead, id)
		}
	}
}

func (s *Scheduler) relist(now time.Time, h *host, u platform.Upstream) {
	if !h.listed || u.Draining != h.up.Draining {
		s.note("Upstream changed.", "", "upstream", u.ID, "draining", u.Draining)
		s.replan = true
	}
	h.list(u, now)
	if u.Draining {
		s.evacuate(now, h)
	}
}

// reborn ends the life of an upstream that started anew under its ID. Orders for
// the former life may have reached the new one: what that lists goes on, and what
// is still unanswered stays so.
func (s *Scheduler) reborn(now time.Time, h *host, l platform.Look) {
	s.note("Upstream was reborn.", "", "upstream", h.up.ID, "runs", len(h.runs), "was", h.born, "born", l.Born)
	for _, r := range h.running() {
		if r.state == runOrdered || listed(l, r) {
			continue
		}
		s.note("Run lost.", r.task.step.occurrence.job.def.GetId(), "task", r.task.name,
			"run", r.number, "upstream", h.up.ID, "why", "reborn")
		s.release(now, r)
	}
	h.born, h.fenced, h.gone = l.Born, false, false
	h.clockMs, h.clockAt, h.deadlineMs, h.lookClockMs = 0, time.Time{}, 0, 0
	if len(h.runs) > 0 {
		// Its lease was named on the former life's clock; the longest is granted.
		h.deadlineMs = l.ClockMs + max(s.set.HoldMax, _lease).Milliseconds()
	}
	h.seen, h.durable, h.acked, h.failed = 0, 0, 0, 0
	h.health = health{}
	h.lookDue = now
	delete(s.journal.ends, h)
	if s.journal.inFlight != nil {
		delete(s.journal.inFlight.ends, h)
	}
	delete(s.unheard, h.up.ID)
	s.replan = true
}

// listed reports whether a look lists a run as running or ended.
func listed(l platform.Look, r *run) bool {
	return slices.ContainsFunc(l.Running, func(n platform.Running) bool {
		return n.Run == r.number && n.Task == r.task.name
	}) || slices.ContainsFunc(l.Ended, func(n platform.Ended) bool {
		return n.Run == r.number && n.Task == r.task.name
	})
}

// over ends the life of an upstream for good.
func (s *Scheduler) over(now time.Time, h *host, why string) {
	if h.gone {
		return
	}
	s.note("Upstream's life is over.", "", "upstream", h.up.ID, "runs", len(h.runs), "why", why)
	h.gone = true
	s.loseRuns(now, h, why)
	delete(s.unheard, h.up.ID)
	s.replan = true
}

// bury forgets an upstream that isn't listed and runs nothing.
func (s *Scheduler) bury(h *host) {
	id := h.up.ID
	if _, waited := s.unheard[id]; waited || len(h.runs) > 0 || h.looking {
		return
	}
	if h.failed == 0 && !h.gone && h.fenced {
		return // It answers; its entry may come back.
	}
	s.hosts.drop(id)
	if h.inRoster {
		s.journal.others = append(s.journal.others, platform.Record{Key: HostKey(s.set.Pool, id)})
	}
}

// loseRuns has the tasks of an upstream placed again.
func (s *Scheduler) loseRuns(now time.Time, h *host, why string) {
	for _, r := range h.running() {
		s.note("Run lost.", r.task.step.occurrence.job.def.GetId(), "task", r.task.name,
			"run", r.number, "upstream", h.up.ID, "why", why)
		s.release(now, r)
	}
}

// release ends a run: its task may be placed again.
func (s *Scheduler) release(now time.Time, r *run) {
	r.host.remove(r)
	t := r.task
	t.drop(r)
	t.step.running--
	if len(t.runs) == 0 && !t.done {
		t.waitingSince = now
	}
	s.replan = true
}

// expire gives up what runs on an upstream whose leases have lapsed.
func (s *Scheduler) expire(now time.Time, h *host) {
	if len(h.runs) > 0 && h.failed > 0 && h.lapsed(now) {
		s.loseRuns(now, h, "lease lapsed")
	}
}

// hear forgets upstreams of a former owner whose leases are surely over.
func (s *Scheduler) hear(now time.Time) {
	for id, t := range s.unheard {
		if !now.Before(t) {
			delete(s.unheard, id)
			s.note("Upstream of a former owner given up.", "", "upstream", id)
			s.replan = true
		}
	}
}

func (s *Scheduler) wantsLook(h *host) bool {
	if h.gone {
		return false
	}
	if !h.fenced || len(h.runs) > 0 || h.failed > 0 {
		return h.listed || len(h.runs) > 0 || h.inRoster
	}
	if !h.listed {
		return true // Whether it is still there decides if it is forgotten.
	}
	return h.durable > h.acked && h.failed == 0
}

// _lookAgain is the pause between looks that list the same ends, while the
// journal doesn't answer.
const _lookAgain = 120 * time.Millisecond

// lookTime returns when an upstream is looked at next. While its ends are being
// appended that waits, as it would list the same ends at once.
func (s *Scheduler) lookTime(h *host) time.Time {
	if h.seen <= h.durable || len(h.runs) == 0 || h.failed > 0 {
		return h.lookDue
	}
	if t := h.lastSeen.Add(_lookAgain); t.After(h.lookDue) {
		return t
	}
	return h.lookDue
}

// look extends the leases of an upstream if that is due.
func (s *Scheduler) look(now time.Time, h *host) {
	if h.peeking || h.looking && !h.undecided() || !s.wantsLook(h) || now.Before(s.lookTime(h)) {
		return
	}
	hold := platform.Hold{Token: s.set.Token, Acked: h.durable, Wait: s.lookWait(h)}
	// What doesn't answer gets no longer lease, so that its tasks can be placed
	// elsewhere once the one it has is over.
	if s.mayOrder(now) && !h.clockAt.IsZero() && len(h.runs) > 0 && h.failed == 0 {
		hold.DeadlineMs = h.lease(now, s.leaseTime())
	}
	l := Look{Host: h.up.ID, Peek: h.looking, Target: h.target, Hold: hold}
	if l.Peek {
		h.peeking = true
	}
	h.looking, h.lookSent = true, now
	s.emit(l)
}

// undecided reports whether a look would tell if a run is there.
func (h *host) undecided() bool {
	for _, r := range h.runs {
		if r.state == runUnsure || r.state == runStopping && !r.stopped.IsZero() {
			return true
		}
	}
	return false
}

func (s *Scheduler) leaseTime() time.Duration {
	if s.set.HoldMax > 0 {
		return min(_lease, s.set.HoldMax)
	}
	return _lease
}

// lookWait returns how long the answer may wait for an end.
func (s *Scheduler) lookWait(h *host) time.Duration {
	if len(h.runs) == 0 || !h.fenced {
		return 0
	}
	if h.undecided() {
		return 0
	}
	if h.shared() {
		return _paceLook
	}
	return _lookWait
}

// looked takes in the answer to a look.
func (s *Scheduler) looked(now time.Time, e Looked) {
	h := s.hosts.get(e.Host)
	if h == nil {
		return
	}
	if e.Peek {
		h.peeking = false
	} else {
		h.looking = false
	}
	if e.Err != nil {
		s.lookFailed(now, h, e.Err)
		return
	}
	if e.Look.Born != 0 && h.born != 0 && e.Look.Born != h.born {
		if e.Look.Born < h.born {
			return
		}
		s.reborn(now, h, e.Look)
	}
	if h.born == 0 {
		h.born = e.Look.Born
	}
	if e.Look.ClockMs < h.lookClockMs {
		// A later look was answered before: only ends are news that stay true.
		s.takeEnds(now, h, e.Look.Ended)
		return
	}
	h.lookClockMs = e.Look.ClockMs
	if h.failed > 0 {
		s.note("Upstream answers again.", "", "upstream", h.up.ID, "failed", h.failed)
	}
	if !h.fenced || h.failed > 0 {
		s.replan = true
	}
	if !h.fenced && len(e.Look.Running) > 0 {
		// What runs may hold a lease that a former owner has just given.
		h.deadlineMs = max(h.deadlineMs, e.Look.ClockMs+_lease.Milliseconds())
	}
	h.failed, h.fenced, h.lastSeen, h.unanswered = 0, true, now, 0
	h.clockMs, h.clockAt = e.Look.ClockMs, now
	delete(s.unheard, h.up.ID)
	s.enroll(now, h)
	s.takeEnds(now, h, e.Look.Ended)
	s.takeRunning(now, h, e)
	s.pace(now, h)
	h.lookDue = now
	if s.lookWait(h) == 0 {
		h.lookDue = now.Add(_pollStopping)
	}
	if len(h.runs) == 0 {
		h.lookDue = now.Add(_lookWait)
	}
}

// _pollStopping is the pause between looks that can't wait for an end.
const _pollStopping = 60 * time.Millisecond

// enroll appends the upstream to those that a later owner has to hear.
func (s *Scheduler) enroll(now time.Time, h *host) {
	if h.inRoster {
		return
	}
	h.inRoster = true
	s.journal.others = append(s.journal.others, record(HostKey(s.set.Pool, h.up.ID),
		&work.Host{Id: h.up.ID, Address: h.up.Address, Machine: h.up.Machine}))
	s.journal.enrolling = append(s.journal.enrolling, h)
	s.journal.wake(now.Add(_acceptDelay))
}

func (s *Scheduler) lookFailed(now time.Time, h *host, err error) {
	switch platform.Status(err) {
	case http.StatusMisdirectedRequest:
		s.over(now, h, "address serves another upstream")
		return
	case http.StatusConflict:
		s.lose(h.up.ID)
		return
	}
	h.failed++
	h.lookDue = now.Add(min(time.Duration(h.failed)*_retryLook, _maxRetryLook))
	if h.failed == 1 {
		s.note("Upstream doesn't answer.", "", "upstream", h.up.ID, "runs", len(h.runs), "err", err)
	}
}

// takeEnds takes in ends that weren't seen before.
func (s *Scheduler) takeEnds(now time.Time, h *host, ends []platform.Ended) {
	before := h.seen
	for _, e := range ends {
		if e.Number <= before {
			continue
		}
		h.seen = max(h.seen, e.Number)
		s.takeEnd(now, h, e)
	}
	if h.seen > before {
		s.cover(now, h)
	}
}

// find returns the task of a name.
func (s *Scheduler) find(name string) *task {
	n, ok := platform.ParseTaskName(name)
	if !ok {
		return nil
	}
	j := s.jobs[n.Job]
	if j == nil {
		return nil
	}
	if n.Occurrence >= len(j.occurrences) {
		return nil
	}
	o := j.occurrences[n.Occurrence]
	if n.Step >= len(o.steps) || n.Index >= len(o.steps[n.Step].tasks) {
		return nil
	}
	return &o.steps[n.Step].tasks[n.Index]
}

// takeEnd takes in the end of a run, whoever started it.
func (s *Scheduler) takeEnd(now time.Time, h *host, e platform.Ended) {
	t := s.find(e.Task)
	if t == nil {
		return
	}
	r := h.find(e.Task, e.Run)
	t.last = max(t.last, e.Run)
	if e.Checkpoint != "" {
		s.keep(t, e.Checkpoint)
	}
	var took time.Duration
	if r != nil {
		if !r.started.IsZero() {
			took = now.Sub(r.started)
		}
		s.release(now, r)
	}
	switch e.End {
	case platform.EndDone:
		h.health.succeed()
		s.finish(now, t, h, took)
	case platform.EndFailed:
		s.failure(now, t, h, e)
	default:
		if !t.step.occurrence.job.over() {
			s.note("Run ended early.", t.step.occurrence.job.def.GetId(), "task", e.Task, "run", e.Run,
				"end", string(e.End), "upstream", h.up.ID)
		}
	}
}

// keep notes the point from which a task resumes. Members of a gang resume
// from the same.
func (s *Scheduler) keep(t *task, checkpoint string) {
	if !t.step.def.GetCheckpointing() {
		return
	}
	t.checkpoint = checkpoint
	if t.step.def.GetGang() {
		for i := range t.step.tasks {
			t.step.tasks[i].checkpoint = checkpoint
		}
	}
}

// finish notes that a task has ended done.
func (s *Scheduler) finish(now time.Time, t *task, h *host, took time.Duration) {
	st := t.step
	j := st.occurrence.job
	if t.done || j.over() {
		return
	}
	if took > 0 && t.checkpoint == "" {
		st.took.note(float64(took) / s.remote(st, h))
		if st.took.n == 1 {
			s.learned.note(j.def.GetQueue(), st.def, took, s.remote(st, h))
		}
	}
	if st.def.GetGang() {
		for i := range st.tasks {
			st.tasks[i].done = true
		}
		st.left = 0
	} else {
		t.done = true
		st.left--
	}
	s.stopAll(now, t)
	s.soil(now, j, _endDelay)
	s.replan = true
	if j.allDone() {
		j.completed = true
		s.end(now, j)
	}
}

// failure notes that a task has failed, and ends its job if that was once too
// often.
func (s *Scheduler) failure(now time.Time, t *task, h *host, e platform.Ended) {
	j := t.step.occurrence.job
	if j.over() || t.done {
		return
	}
	t.avoid = h.up.ID
	s.note("Run failed.", j.def.GetId(), "task", e.Task, "run", e.Run, "upstream", h.up.ID,
		"failures", len(t.failed)+1, "allowed", j.queue.Attempts)
	if t.step.def.GetLongRunning() {
		return
	}
	if slices.Contains(t.failed, e.Run) {
		return // A former owner counted it.
	}
	t.failed = append(t.failed, e.Run)
	s.soil(now, j, _endDelay)
	if h.health.fail(now, j.def.GetId()) {
		s.note("Upstream ejected.", "", "upstream", h.up.ID, "until", h.health.ejectedUntil)
	}
	if n := t.step.failures(t); j.queue.Attempts > 0 && n >= j.queue.Attempts {
		j.failed = true
		s.end(now, j)
	}
}

// takeRunning compares what runs on an upstream with what should.
func (s *Scheduler) takeRunning(now time.Time, h *host, e Looked) {
	listed := make(map[*run]bool, len(e.Look.Running))
	for _, n := range e.Look.Running {
		r := h.find(n.Task, n.Run)
		if r == nil {
			r = s.meet(now, h, n)
		}
		if r != nil {
			listed[r] = true
			s.watch(now, r, n)
		}
	}
	if len(e.Look.Ended) >= _endsPage {
		return // More ends are to come.
	}
	for _, r := range h.running() {
		if !listed[r] {
			s.missing(now, r, e.Sent)
		}
	}
}

// _endsPage is how many ends an upstream lists at once.
const _endsPage = 500

// meet takes in a run that this owner didn't know: one of a former owner, or of
// an order that was carried out late.
func (s *Scheduler) meet(now time.Time, h *host, n platform.Running) *run {
	t := s.find(n.Task)
	if t == nil {
		s.emit(Stop{Host: h.up.ID, Target: h.target, Task: n.Task, Run: n.Run, Token: s.set.Token})
		return nil
	}
	r := &run{task: t, number: n.Run, state: runRunning, started: now, percent: -1, pace: 100, adopted: true}
	t.last = max(t.last, n.Run)
	t.step.occurrence.job.begun = true
	former := len(t.runs) > 0
	t.runs = append(t.runs, r)
	t.step.running++
	h.add(r)
	if t.done || t.step.occurrence.job.over() || former {
		s.stop(now, r)
	}
	return r
}

// watch follows a run that is listed.
func (s *Scheduler) watch(now time.Time, r *run, n platform.Running) {
	if r.state == runOrdered || r.state == runUnsure {
		r.state, r.started = runRunning, now
	}
	if n.Checkpoint != "" {
		s.keep(r.task, n.Checkpoint)
	}
	if n.Percent != r.percent {
		r.percent, r.moved = n.Percent, now
	}
	r.gauge = n.Gauge
	if r.state == runRunning && s.stuck(now, r) {
		s.note("Run stands still.", r.task.step.occurrence.job.def.GetId(), "task", r.task.name,
			"upstream", r.host.up.ID, "percent", r.percent, "sinceMs", now.Sub(r.moved).Milliseconds())
		r.task.avoid = r.host.up.ID
		r.host.health.eject(now)
		s.stop(now, r)
	}
}

// _stillAfter is when a run that doesn't move is taken to be stuck. A slow
// upstream still moves by a percent within it.
const _stillAfter = 1200 * time.Millisecond

// stuck reports whether a run stands still.
func (s *Scheduler) stuck(now time.Time, r *run) bool {
	d := r.task.step.def
	if d.GetLongRunning() || d.GetFills() || d.GetGang() || r.pace < 100 {
		return false
	}
	return now.Sub(r.moved) >= _stillAfter
}

// missing decides about a run that a look doesn't list.
func (s *Scheduler) missing(now time.Time, r *run, sent time.Time) {
	switch r.state {
	case runRunning:
		if r.started.Before(sent) {
			s.release(now, r)
		}
	case runStopping:
		if !r.stopped.IsZero() && r.stopped.Before(sent) {
			s.release(now, r)
		}
	case runUnsure:
		if r.ordered.Before(sent) {
			s.stop(now, r)
		}
	case runOrdered:
	}
}

// failures counts the failed runs that a limit applies to: those of the task,
// or of all members of a gang.
func (st *step) failures(t *task) int {
	if !st.def.GetGang() {
		return len(t.failed)
	}
	n := 0
	for i := range st.tasks {
		n += len(st.tasks[i].failed)
	}
	return n
}
