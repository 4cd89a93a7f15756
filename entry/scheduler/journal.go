package scheduler

import (
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"fescuelanding/entry/link"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// Parts of the keys of a pool's records: a job, its progress, an upstream in use,
// and the learned durations.
const (
	_jobKey      = "/j/"
	_progressKey = "/p/"
	_hostKey     = "/h/"
	_learnedKey  = "/l"
)

// _learnedInterval is the shortest time between two records of learned durations.
const _learnedInterval = 2 * time.Second

// JobKey returns the key of a job's record. An empty ID gives the prefix of all
// of them.
func JobKey(pool, id string) string { return pool + _jobKey + id }

// ProgressKey returns the key of the record of a job's progress. An empty ID
// gives the prefix of all of them.
func ProgressKey(pool, id string) string { return pool + _progressKey + id }

// HostKey returns the key of the record of an upstream in use. An empty ID gives
// the prefix of all of them.
func HostKey(pool, id string) string { return pool + _hostKey + id }

// LearnedKey returns the key of the record of learned durations.
func LearnedKey(pool string) string { return pool + _learnedKey }

// journal collects the records to be appended. One batch is in flight at a time.
type journal struct {
	number   int64
	inFlight *batch
	// due is when the next batch is sent; zero for none.
	due time.Time
	// accepting are the new jobs, and dirty those with changed progress.
	accepting []*job
	dirty     []*job
	// dirtyLater are those with changed progress that goes along with other records.
	dirtyLater []*job
	// ends holds, by upstream, the highest end number that may be acknowledged
	// once the next batch has been appended.
	ends map[*host]int64
	// others are records that no caller waits for: upstreams in use, and
	// deletions.
	others []platform.Record
	// hosts are the upstreams in others.
	hosts []*host
	// learnedAt is when learned durations were appended last.
	learnedAt time.Time
	commits   commits
	// refuseAt is no later than the first time at which one of accepting is refused.
	refuseAt earliest
}

// batch is an append in flight.
type batch struct {
	number int64
	sent   time.Time
	// confirms is when this entry owns the pool if the batch is appended. It is before sent by the
	// time for which the process was suspended since.
	confirms  time.Time
	accepting []*job
	progress  []progressUpdate
	ends      map[*host]int64
	// others are records that no caller waits for.
	others []platform.Record
	// hosts are the upstreams in others.
	hosts   []*host
	records []platform.Record
}

// progressUpdate is a progress record in a batch: the job and, if it has ended,
// its final state.
type progressUpdate struct {
	job   *job
	state link.JobState
}

// schedule sets the time of the next batch, unless an earlier one is set.
func (n *journal) schedule(at time.Time) {
	if n.due.IsZero() || at.Before(n.due) {
		n.due = at
	}
}

// markDirty queues the progress of a job for a batch that is sent within the
// given time.
func (s *Scheduler) markDirty(now time.Time, j *job, within time.Duration) {
	if !j.dirty {
		j.dirty = true
		s.journal.dirty = append(s.journal.dirty, j)
	}
	s.journal.schedule(now.Add(within))
}

// recordWithNext adds the progress of a job to the next batch that has other records.
func (s *Scheduler) recordWithNext(j *job) {
	if !j.dirty && !j.dirtyLater {
		j.dirtyLater = true
		s.journal.dirtyLater = append(s.journal.dirtyLater, j)
	}
}

// queueEnds marks the upstream's ends as covered by the next batch. They are
// acknowledged once it has been appended.
func (s *Scheduler) queueEnds(now time.Time, h *host) {
	if s.journal.ends == nil {
		s.journal.ends = make(map[*host]int64)
	}
	s.journal.ends[h] = h.seenEnd
	s.journal.schedule(now.Add(_endDelay))
}

// forgetHost withdraws the record of an upstream, which names its former incarnation. No
// tasks are placed on the present one before a record of its own is durable.
func (n *journal) forgetHost(h *host) {
	h.recordQueued, h.recordDurable = false, false
	h.touch()
	same := func(x *host) bool { return x == h }
	n.hosts = slices.DeleteFunc(n.hosts, same)
	if n.inFlight != nil {
		n.inFlight.hosts = slices.DeleteFunc(n.inFlight.hosts, same)
	}
}

// suspended counts a suspension of the process, which the clock left out.
func (n *journal) suspended(d time.Duration) {
	if n.inFlight != nil {
		n.inFlight.confirms = n.inFlight.confirms.Add(-d)
	}
}

// flush sends the next batch if it is due and none is in flight.
func (s *Scheduler) flush(now time.Time) {
	n := &s.journal
	s.refuseOverdue(now)
	if n.inFlight != nil {
		return
	}
	if n.due.IsZero() || now.Before(n.due) {
		return
	}
	b := s.collect(now)
	if len(b.records) == 0 {
		s.completeBatch(now, b)
		return
	}
	n.inFlight = b
	s.emit(Append{Batch: b.number, Records: b.records})
}

// collect moves pending records into a batch, up to the size limit.
func (s *Scheduler) collect(now time.Time) *batch {
	n := &s.journal
	s.refuseUnanswerable(now)
	n.number++
	b := &batch{number: n.number, sent: now, confirms: now, ends: n.ends}
	n.ends, n.due = nil, time.Time{}
	b.others, n.others = n.others, nil
	b.hosts, n.hosts = n.hosts, nil
	b.records = append(b.records, b.others...)
	if (len(n.accepting) > 0 || len(n.dirty) > 0) && now.Sub(n.learnedAt) > _learnedInterval && len(s.learned.byQueue) > 0 {
		n.learnedAt = now
		b.records = append(b.records, record(LearnedKey(s.set.Pool), s.learned.record()))
	}
	size := 0
	for len(n.accepting) > 0 && size < _maxBatchBytes {
		j := n.accepting[0]
		n.accepting = n.accepting[1:]
		r := record(JobKey(s.set.Pool, j.def.GetId()), j.def)
		size += len(r.Value)
		b.accepting, b.records = append(b.accepting, j), append(b.records, r)
	}
	if len(n.accepting) > 0 {
		n.due = now
	}
	known := func(j *job) bool { return s.jobs[j.def.GetId()] == j }
	if len(b.records) > 0 || slices.ContainsFunc(n.dirty, known) {
		n.dirty = append(n.dirty, slices.DeleteFunc(n.dirtyLater, func(j *job) bool { return j.dirty || j.over() })...)
		n.dirtyLater = nil
	}
	for _, j := range n.dirty {
		j.dirtyLater = false
		if j.dirty = false; !known(j) {
			continue // refused in the meantime
		}
		s.noteHeld(j, n.number)
		b.progress = append(b.progress, progressUpdate{j, endState(j)})
		b.records = append(b.records, record(ProgressKey(s.set.Pool, j.def.GetId()), progress(j)))
	}
	n.dirty = nil
	if n.commits.probe && len(b.records) == 0 {
		b.records = append(b.records, record(LearnedKey(s.set.Pool), s.learned.record()))
	}
	return b
}

// record encodes a message. Marshalling a message built in memory can't fail.
func record(key string, m proto.Message) platform.Record {
	v, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return platform.Record{Key: key, Value: v}
}

// progress returns the durable progress of a job.
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
			p.LastRun = max(p.LastRun, uint32(t.lastRun))
			if c := encodeCrashes(t); c != nil {
				p.Crashes = append(p.Crashes, c)
			}
			if c := encodePlacement(t); c != nil {
				p.Placements = append(p.Placements, c)
			}
		}
		w.Steps = append(w.Steps, p)
	}
	return w
}

// appendAnswered handles the outcome of a batch.
func (s *Scheduler) appendAnswered(now time.Time, e Appended) {
	b := s.journal.inFlight
	if b == nil || b.number != e.Batch {
		return
	}
	s.journal.inFlight = nil
	if e.Err == nil {
		s.journal.commits.answered(e.Took)
		s.ownership.appended(b.confirms)
		s.touchLapsed(now)
		s.logSlowAppend(now, b, e.Took)
		s.completeBatch(now, b)
		return
	}
	if platform.Status(e.Err) == http.StatusConflict {
		s.loseOwnership("journal")
		return
	}
	// Nothing was appended. All records go into the next batch, without the jobs that can't
	// wait for it.
	s.journal.commits.refused(b.sent)
	s.journal.others = append(b.others, s.journal.others...)
	s.journal.hosts = append(b.hosts, s.journal.hosts...)
	s.journal.accepting = append(b.accepting, s.journal.accepting...)
	for _, j := range b.accepting {
		s.journal.refuseAt.add(j.waitUntil)
	}
	for _, p := range b.progress {
		s.markDirty(now, p.job, _probeInterval)
	}
	for h, n := range b.ends {
		if s.journal.ends == nil {
			s.journal.ends = make(map[*host]int64)
		}
		s.journal.ends[h] = max(n, s.journal.ends[h])
	}
	s.journal.due = now.Add(_probeInterval)
}

func removeJob(l []*job, j *job) []*job {
	for i, x := range l {
		if x == j {
			return append(l[:i], l[i+1:]...)
		}
	}
	return l
}

// completeBatch applies a batch that has been appended, and answers the requests
// that waited for it.
func (s *Scheduler) completeBatch(now time.Time, b *batch) {
	for _, h := range b.hosts {
		h.recordDurable = true
		h.touch()
		s.replan = true
	}
	for _, j := range b.accepting {
		j.durable = true
		s.upcoming = append(s.upcoming, j)
		s.count(j, acceptedAs(j))
		s.logNote("Job accepted.", j.def.GetId(), "queue", j.def.GetQueue(), "workspace", j.def.GetWorkspace(),
			"surplus", j.surplus, "deferred", j.deferred, "afterMs", now.Sub(j.arrived).Milliseconds())
		for _, r := range j.acceptWaiters {
			s.reply(r, &link.Answer{Outcome: link.Outcome_OUTCOME_OK})
		}
		j.acceptWaiters = nil
		s.replan = true
	}
	for _, p := range b.progress {
		j, state := p.job, p.state
		if state == link.JobState_JOB_STATE_UNSPECIFIED {
			continue
		}
		if j.durableState != state {
			s.count(j, endedAs(now, j))
			s.logNote("Job ended.", j.def.GetId(), "state", state.String(), "afterMs", now.Sub(j.arrived).Milliseconds(),
				"objectiveMs", j.objective.Milliseconds(), "predictedMs", j.predicted.Milliseconds())
		}
		j.durableState = state
		for _, r := range j.cancelWaiters {
			s.reply(r, &link.Answer{Outcome: link.Outcome_OUTCOME_OK, State: state})
		}
		j.cancelWaiters = nil
	}
	s.sendHeld(now, b.number)
	for h, n := range b.ends {
		h.durableEnd = max(h.durableEnd, n)
		h.touch()
		// The next poll acknowledges the ends. It is delayed if the upstream is
		// idle, because nothing waits for the acknowledgement then.
		if len(h.runs) > 0 {
			h.pollDue = now
		} else if h.pollDue.Before(now) {
			h.pollDue = now.Add(_idleAckDelay)
		}
	}
}

// dropExpiredJobs deletes jobs whose status retention has passed.
func (s *Scheduler) dropExpiredJobs(now time.Time) {
	for len(s.past) > 0 && !now.Before(s.past[0].endedAt.Add(s.set.StatusRetention)) {
		j := s.past[0]
		s.past = s.past[1:]
		if j.durableState == link.JobState_JOB_STATE_UNSPECIFIED {
			// The end of the job hasn't been appended yet, so the job is kept.
			s.past = append(s.past, j)
			return
		}
		id := j.def.GetId()
		delete(s.jobs, id)
		s.journal.others = append(s.journal.others,
			platform.Record{Key: JobKey(s.set.Pool, id)}, platform.Record{Key: ProgressKey(s.set.Pool, id)})
		s.journal.schedule(now.Add(_deletionDelay))
	}
}
