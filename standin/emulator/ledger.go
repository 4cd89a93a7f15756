package emulator

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// ledger judges a history by what upstreams ran and callers were told.
type ledger struct {
	world *World
	tasks map[string]*taskRecord
	jobs  map[string]*jobRecord
	wrong []Violation
	seen  map[string]bool
}

// Violation is a promise that was broken.
type Violation struct {
	Rule   string
	At     time.Duration
	Detail string
}

// String returns the violation as a line.
func (v Violation) String() string {
	return fmt.Sprintf("%s at %v: %s", v.Rule, v.At.Round(time.Millisecond), v.Detail)
}

// jobRecord is a job that a caller handed in.
type jobRecord struct {
	def *work.Job
	// failing is the share of runs that fail, in percent.
	failing int
	// accepted is when a caller was told so, refused whether all attempts were
	// refused, cancelled when a caller was told that.
	accepted, cancelled time.Duration
	asked               bool
	refused             bool
	wantsCancel         bool
	shown               link.JobState
}

// taskRecord is what was seen of a task.
type taskRecord struct {
	name    platform.TaskName
	job     *jobRecord
	def     *work.Step
	cpu     int64
	lasts   time.Duration
	forever bool
	starts  []*started
	world   *World
}

// started is a start of a task, and what came of it.
type started struct {
	task   *taskRecord
	on     string
	by     string
	number int64
	at     time.Duration
	// over is when it ended, how in which way; it is open without.
	over time.Duration
	how  platform.End
	// noted is set once the end was acknowledged.
	noted bool
	// forgotten is set where the upstream's life ended before that.
	forgotten bool
	// ordered is set where an order ended it.
	ordered bool
}

func (s *started) String() string {
	return fmt.Sprintf("run %d on %s by %s at %v", s.number, s.on, s.by, s.at.Round(time.Millisecond))
}

// failsOn reports whether a run fails, which the job and the run alone decide.
func (t *taskRecord) failsOn(number int64) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.name.String() + strconv.FormatInt(number, 10))) // A hash never fails.
	return int(h.Sum32()%100) < t.job.failing
}

func (l *ledger) broken(rule, format string, a ...any) {
	v := Violation{rule, l.world.now, fmt.Sprintf(format, a...)}
	if l.seen == nil {
		l.seen = make(map[string]bool)
	}
	if l.seen[rule+v.Detail] {
		return
	}
	l.seen[rule+v.Detail] = true
	l.wrong = append(l.wrong, v)
	l.world.say("BROKEN %v", v)
}

// task returns the record of a task, by the name in an order.
func (l *ledger) task(name, spec string) *taskRecord {
	if t := l.tasks[name]; t != nil {
		return t
	}
	n, ok := platform.ParseTaskName(name)
	j := l.jobs[n.Job]
	if !ok || j == nil || n.Step >= len(j.def.GetSteps()) || spec != j.def.GetSpec() {
		l.broken("UNASKED", "%s", name)
		j = &jobRecord{def: &work.Job{Steps: make([]*work.Step, n.Step+1)}}
	}
	d := j.def.GetSteps()[n.Step]
	t := &taskRecord{
		name: n, job: j, def: d, cpu: d.GetMilliCpu(), forever: d.GetLongRunning(),
		lasts: time.Duration(d.GetEstimateMs()) * time.Millisecond, world: l.world,
	}
	l.tasks[name] = t
	return t
}

// start notes a start and checks what may be told of it now.
func (l *ledger) start(t *taskRecord, u *upstream, number int64, by string) *started {
	s := &started{task: t, on: u.name(), by: by, number: number, at: l.world.now}
	for _, o := range t.starts {
		if o.how == "" {
			l.broken("TWICE", "%s: %v beside %v", t.name, s, o)
		}
	}
	for _, a := range t.def.GetAfter() {
		if n := l.done(t.job, t.name.Occurrence, int(a)); n < int(t.job.def.GetSteps()[a].GetCount()) {
			l.broken("ORDER", "%s: %v while %d of step %d are done", t.name, s, n, a)
		}
	}
	if due := t.job.due(t.name.Occurrence); l.world.time().Before(due.Add(-_early)) {
		l.broken("ORDER", "%s: %v, due at %v", t.name, s, due.Sub(_epoch))
	}
	if t.job.cancelled > 0 && l.world.now > t.job.cancelled+_cancelled {
		l.broken("UNASKED", "%s: %v, cancelled at %v", t.name, s, t.job.cancelled)
	}
	if w := l.world; w.killedAt > 0 && w.resumedAt == 0 && w.now > w.killedAt+_maxDelay {
		w.resumedAt = w.now
	}
	t.starts = append(t.starts, s)
	l.world.say("%s starts %v", t.name, s)
	return s
}

// _cancelled is when no task of a cancelled job may start any more; orders that
// are carried out late take _maxLate.
const _cancelled = 3*time.Second + _maxLate

// _early is how much before its time a task may start.
const _early = 250 * time.Millisecond

// due returns when an occurrence may start.
func (j *jobRecord) due(k int) time.Time {
	if j.def.GetOccurrences() == 0 {
		return time.Time{}
	}
	return time.UnixMilli(j.def.GetFirstRunUnixMs() + int64(k)*j.def.GetIntervalMs())
}

// done counts the tasks of a step of which a run has ended done; one of a gang
// stands for all.
func (l *ledger) done(j *jobRecord, k, step int) int {
	n := 0
	for i := range int(j.def.GetSteps()[step].GetCount()) {
		t := l.tasks[platform.TaskName{Job: j.def.GetId(), Occurrence: k, Step: step, Index: i}.String()]
		if t != nil && slices.ContainsFunc(t.starts, func(s *started) bool { return s.how == platform.EndDone }) {
			n++
		}
	}
	if n > 0 && j.def.GetSteps()[step].GetGang() {
		return int(j.def.GetSteps()[step].GetCount())
	}
	return n
}

// evict notes that an order about a host ends what runs there.
func (l *ledger) evict(u *upstream, by string) {
	for _, t := range sortedKeys(u.runs) {
		l.ordered(u.runs[t].entry, u, "an order of "+by)
		u.runs[t].entry.ordered = true
	}
}

// _notice is for how long a task may be away for another cause than an order before
// it counts as missing.
const _notice = 4500 * time.Millisecond

// ordered checks that a run may be ended by an order, with those of its step that are
// away already. An order that was held up is nobody's fault.
func (l *ledger) ordered(s *started, u *upstream, by string) {
	t := s.task
	s.ordered = true
	sound := l.world.now-s.at >= _startup && l.world.now >= u.still
	if t.def.GetMayMiss() == 0 || t.job.wantsCancel || !sound || u.heldUp {
		return
	}
	away := 0
	for i := range int(t.def.GetCount()) {
		n := t.name
		n.Index = i
		if o := l.tasks[n.String()]; i != t.name.Index && o != nil && o.away() {
			away++
		}
	}
	if away >= int(t.def.GetMayMiss()) {
		l.broken("AVAIL", "%s: %v is ended by %s while %d others are away", t.name, s, by, away)
	}
}

// away reports whether a task that lasts is missing: ended by an order and not at work
// since, or not at work for a while.
func (t *taskRecord) away() bool {
	now := t.world.now
	var last *started
	for _, s := range t.starts {
		if s.how == "" && now-s.at >= _startup {
			return false
		}
		if s.how != "" && s.over-s.at >= _startup {
			last = s // It was at work.
		}
	}
	if last == nil {
		return false // It has never been at work.
	}
	return last.ordered || now-last.over >= _notice
}

// upkeep checks that no more hosts of a wave are down than may be.
func (l *ledger) upkeep(u *upstream) {
	down := 0
	for _, o := range l.world.upstreams {
		if o != u && o.host.state == platform.MachineUpkeep {
			down++
		}
	}
	if down >= l.world.declared.MaxDown {
		l.broken("LIMIT", "upkeep of %s while %d are down", u.name(), down)
	}
}

// stop notes that a run is over.
func (l *ledger) stop(s *started, how platform.End) {
	s.over, s.how = l.world.now, how
	l.world.say("%s %s: %v", s.task.name, how, s)
}

// listed returns the start whose end an upstream lists.
func (l *ledger) listed(u *upstream, e platform.Ended) *started {
	all := l.tasks[e.Task].starts
	i := slices.IndexFunc(all, func(s *started) bool { return s.number == e.Run && s.on == u.name() })
	return all[i]
}

// ack notes that an upstream was told to forget an end. One before the lease ran
// out doesn't count: the task may run elsewhere by then.
func (l *ledger) ack(u *upstream, e platform.Ended) {
	if s := l.listed(u, e); !s.forgotten && u.lapsed < s.over {
		s.noted = true
	}
}

// forget notes that an end is lost with its upstream's life: nobody had to know
// of it.
func (l *ledger) forget(u *upstream, e platform.Ended) { l.listed(u, e).forgotten = true }

// judge checks what can be told only in the end.
func (l *ledger) judge() {
	for _, n := range sortedKeys(l.tasks) {
		t := l.tasks[n]
		l.judgeRuns(t)
		if t.job.refused && !t.job.asked {
			l.broken("REFUSED", "%s started, and all attempts were refused", n)
		}
	}
	for _, id := range sortedKeys(l.jobs) {
		if j := l.jobs[id]; j.accepted > 0 && !j.wantsCancel && !j.lasting() && !ended(j.shown) {
			l.broken("LOST", "job %s is %v in the end, accepted at %v", id, j.shown, j.accepted)
		}
	}
}

func (l *ledger) judgeRuns(t *taskRecord) {
	for _, d := range t.starts {
		if d.how != platform.EndDone || !d.noted || t.forever {
			continue
		}
		for _, s := range t.starts {
			if s != d && s.at > d.over {
				l.broken("TWICE", "%s: %v after %v was done at %v", t.name, s, d, d.over)
			}
		}
	}
	if t.forever {
		return
	}
	failed := 0
	for _, s := range t.starts {
		if failed >= l.world.queue.Attempts {
			l.broken("BUDGET", "%s: %v after %d failed", t.name, s, failed)
		}
		if s.how == platform.EndFailed && s.noted {
			failed++
		}
	}
}

func (j *jobRecord) lasting() bool {
	return slices.ContainsFunc(j.def.GetSteps(), (*work.Step).GetLongRunning)
}

// sortedKeys returns the keys in order, so that a seed gives one history.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
