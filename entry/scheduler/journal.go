package scheduler

import (
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"fescuelanding/entry/link"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// Keys of a pool's records: the job, its progress, and the upstreams in use.
const (
	_jobKey      = "/j/"
	_progressKey = "/p/"
	_hostKey     = "/h/"
	_learnedKey  = "/l"
)

// _learnedInterval is the least time between two records of what was learned.
const _learnedInterval = 2 * time.Second

// JobKey is the key of a job.
func JobKey(pool, id string) string { return pool + _jobKey + id }

// ProgressKey is the key of the progress of a job.
func ProgressKey(pool, id string) string { return pool + _progressKey + id }

// HostKey is the key of an upstream that has been given work.
func HostKey(pool, id string) string { return pool + _hostKey + id }

// LearnedKey is the key of what an owner has learned.
func LearnedKey(pool string) string { return pool + _learnedKey }

// journal collects what has to be appended. One batch is under way at a time.
type journal struct {
	number   int64
	inFlight *batch
	// due is when the next batch goes; zero for none.
	due     time.Time
	accepts []*job
	dirty   []*job
	// ends are the highest ends by upstream that the next batch covers.
	ends map[*host]int64
	// others are records that nobody waits for: upstreams in use, and keys to
	// forget.
	others []platform.Record
	// enrolling are upstreams among them.
	enrolling []*host
	// taught is when what was learned was appended last.
	taught time.Time
}

// batch is an append under way.
type batch struct {
	number   int64
	sent     time.Time
	accepts  []*job
	progress []ending
	ends     map[*host]int64
	// others are records that nobody waits for.
	others []platform.Record
	// enrolled are upstreams among them.
	enrolled []*host
	records  []platform.Record
}

// ending is a job whose progress is appended, with the final state, if any, that
// the record carries.
type ending struct {
	job   *job
	state link.JobState
}

// wake has the next batch go at a time, or earlier.
func (n *journal) wake(at time.Time) {
	if n.due.IsZero() || at.Before(n.due) {
		n.due = at
	}
}

// soil notes that the progress of a job has to be appended.
func (s *Scheduler) soil(now time.Time, j *job, within time.Duration) {
	if !j.dirty {
		j.dirty = true
		s.journal.dirty = append(s.journal.dirty, j)
	}
	s.journal.wake(now.Add(within))
}

// cover notes that ends of an upstream may be forgotten after the next batch.
func (s *Scheduler) cover(now time.Time, h *host) {
	if s.journal.ends == nil {
		s.journal.ends = make(map[*host]int64)
	}
	s.journal.ends[h] = h.seen
	s.journal.wake(now.Add(_endDelay))
}

// flush begins the next batch if it is due and none is under way.
func (s *Scheduler) flush(now time.Time) {
	n := &s.journal
	if n.inFlight != nil {
		if now.Sub(n.inFlight.sent) >= _journalSilence {
			s.refuseAccepts("journal unanswered")
		}
		return
	}
	if n.due.IsZero() || now.Before(n.due) {
		return
	}
	b := s.collect(now)
	if len(b.records) == 0 {
		s.settled(now, b)
		return
	}
	n.inFlight = b
	s.emit(Append{Batch: b.number, Records: b.records})
}

// collect takes what waits into a batch, up to its largest size.
func (s *Scheduler) collect(now time.Time) *batch {
	n := &s.journal
	n.number++
	b := &batch{number: n.number, sent: now, ends: n.ends}
	n.ends, n.due = nil, time.Time{}
	b.others, n.others = n.others, nil
	b.enrolled, n.enrolling = n.enrolling, nil
	b.records = append(b.records, b.others...)
	if (len(n.accepts) > 0 || len(n.dirty) > 0) && now.Sub(n.taught) > _learnedInterval && len(s.learned.byQueue) > 0 {
		n.taught = now
		b.records = append(b.records, record(LearnedKey(s.set.Pool), s.learned.record()))
	}
	size := 0
	for len(n.accepts) > 0 && size < _maxBatch {
		j := n.accepts[0]
		n.accepts = n.accepts[1:]
		r := record(JobKey(s.set.Pool, j.def.GetId()), j.def)
		size += len(r.Value)
		b.accepts, b.records = append(b.accepts, j), append(b.records, r)
	}
	if len(n.accepts) > 0 {
		n.due = now
	}
	for _, j := range n.dirty {
		if j.dirty = false; s.jobs[j.def.GetId()] != j {
			continue // It was refused meanwhile.
		}
		b.progress = append(b.progress, ending{j, endState(j)})
		b.records = append(b.records, record(ProgressKey(s.set.Pool, j.def.GetId()), progress(j)))
	}
	n.dirty = nil
	return b
}

// record encodes a message. Encoding a message in memory can't fail.
func record(key string, m proto.Message) platform.Record {
	v, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return platform.Record{Key: key, Value: v}
}

// progress is what has to last about a job.
func progress(j *job) *work.Progress {
	p := &work.Progress{Cancelled: j.cancelled, Failed: j.failed, Completed: j.completed}
	if j.over() {
		p.EndedUnixMs = j.endedAt.UnixMilli()
		return p
	}
	for _, o := range j.occurrences {
		p.Occurrences = append(p.Occurrences, occurrenceProgress(o))
	}
	return p
}

func occurrenceProgress(o *occurrence) *work.Occurrence {
	w := &work.Occurrence{Number: int32(o.number)}
	for _, st := range o.steps {
		p := &work.StepProgress{}
		for i := range st.tasks {
			t := &st.tasks[i]
			if t.done {
				if p.Done == nil {
					p.Done = make([]byte, (len(st.tasks)+7)/8)
				}
				p.Done[i/8] |= 1 << (i % 8)
			}
			for _, n := range t.failed {
				p.Failures = append(p.Failures, &work.Failure{Task: uint32(i), Run: uint32(n)})
			}
			p.LastRun = max(p.LastRun, uint32(t.last))
		}
		w.Steps = append(w.Steps, p)
	}
	return w
}

// appended takes in the outcome of a batch.
func (s *Scheduler) appended(now time.Time, e Appended) {
	b := s.journal.inFlight
	if b == nil || b.number != e.Batch {
		return
	}
	s.journal.inFlight = nil
	if e.Err == nil {
		s.settled(now, b)
		return
	}
	if platform.Status(e.Err) == http.StatusConflict {
		s.lose("journal")
		return
	}
	// Nothing of it was appended: what callers wait for is refused, the rest
	// goes with the next batch.
	s.journal.others = append(b.others, s.journal.others...)
	s.journal.enrolling = append(b.enrolled, s.journal.enrolling...)
	s.journal.accepts = append(b.accepts, s.journal.accepts...)
	s.refuseAccepts("journal refused")
	for _, p := range b.progress {
		s.soil(now, p.job, _retryAppend)
	}
	for h, n := range b.ends {
		if s.journal.ends == nil {
			s.journal.ends = make(map[*host]int64)
		}
		s.journal.ends[h] = max(n, s.journal.ends[h])
	}
	s.journal.due = now.Add(_retryAppend)
}

// _retryAppend is the pause after a refused append.
const _retryAppend = 150 * time.Millisecond

// _storeRetry is when a caller may come back after the store failed: outages
// last seconds.
const _storeRetry = 2 * time.Second

// refuseAccepts refuses jobs that were never sent to the journal.
func (s *Scheduler) refuseAccepts(why string) {
	for _, j := range s.journal.accepts {
		s.note("Job refused.", j.def.GetId(), "why", why)
		delete(s.jobs, j.def.GetId())
		s.active = without(s.active, j)
		for _, r := range append(j.waiting, j.cancelling...) {
			s.reply(r, &link.Answer{
				Outcome: link.Outcome_OUTCOME_UNAVAILABLE, RetryAfterMs: _storeRetry.Milliseconds(),
			})
		}
	}
	s.journal.accepts = nil
}

func without(l []*job, j *job) []*job {
	for i, x := range l {
		if x == j {
			return append(l[:i], l[i+1:]...)
		}
	}
	return l
}

// settled tells everybody who waited for a batch.
func (s *Scheduler) settled(now time.Time, b *batch) {
	for _, h := range b.enrolled {
		h.enrolled = true
		s.replan = true
	}
	for _, j := range b.accepts {
		j.durable = true
		s.note("Job accepted.", j.def.GetId(), "queue", j.def.GetQueue(),
			"afterMs", now.Sub(j.arrived).Milliseconds())
		for _, r := range j.waiting {
			s.reply(r, &link.Answer{Outcome: link.Outcome_OUTCOME_OK})
		}
		j.waiting = nil
		s.replan = true
	}
	for _, p := range b.progress {
		j, state := p.job, p.state
		if state == link.JobState_JOB_STATE_UNSPECIFIED {
			continue
		}
		if j.shown != state {
			s.note("Job ended.", j.def.GetId(), "state", state.String(), "afterMs", now.Sub(j.arrived).Milliseconds(),
				"objectiveMs", j.objective.Milliseconds(), "predictedMs", j.predicted.Milliseconds())
		}
		j.shown = state
		for _, r := range j.cancelling {
			s.reply(r, &link.Answer{Outcome: link.Outcome_OUTCOME_OK, State: state})
		}
		j.cancelling = nil
	}
	for h, n := range b.ends {
		h.durable = max(h.durable, n)
		if len(h.runs) > 0 {
			h.lookDue = now
		} else if h.lookDue.Before(now) {
			h.lookDue = now.Add(_ackLater)
		}
	}
}

// forget drops jobs that ended long ago.
func (s *Scheduler) forget(now time.Time) {
	for len(s.past) > 0 && !now.Before(s.past[0].endedAt.Add(s.set.StatusRetention)) {
		j := s.past[0]
		s.past = s.past[1:]
		if j.shown == link.JobState_JOB_STATE_UNSPECIFIED {
			s.past = append(s.past, j)
			return
		}
		id := j.def.GetId()
		delete(s.jobs, id)
		s.journal.others = append(s.journal.others,
			platform.Record{Key: JobKey(s.set.Pool, id)}, platform.Record{Key: ProgressKey(s.set.Pool, id)})
		s.journal.wake(now.Add(time.Second))
	}
}
