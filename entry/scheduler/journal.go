package scheduler

import (
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"fescuelanding/entry/link"
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
	// accepting are the new jobs.
	accepting []*job
	// dirty are the parts with changed progress, and dirtyLater those whose progress goes along with
	// other records.
	dirty      partQueue
	dirtyLater partQueue
	// ends holds, by upstream, the highest end number that may be acknowledged
	// once all of dirty has been appended.
	ends map[*host]int64
	// others are records that no caller waits for: upstreams in use, and
	// deletions.
	others []otherRecord
	// learnedAt is when learned durations were appended last.
	learnedAt time.Time
	commits   commits
	// refuseAt is no later than the first time at which one of accepting is refused.
	refuseAt earliest
}

// otherRecord is a record that no caller waits for. host is set if the record names an upstream in
// use.
type otherRecord struct {
	platform.Record
	host *host
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
	others    []otherRecord
	records   []platform.Record
	// bytes is the size of the records.
	bytes int
}

// add adds a record if the batch stays within a size.
func (b *batch) add(r platform.Record, limit int) bool {
	if b.bytes+r.Size() > limit {
		return false
	}
	b.bytes += r.Size()
	b.records = append(b.records, r)
	return true
}

// progressUpdate is a progress record in a batch: the part and, if the job has ended,
// its final state.
type progressUpdate struct {
	part  part
	state link.JobState
}

// schedule sets the time of the next batch, unless an earlier one is set.
func (n *journal) schedule(at time.Time) {
	if n.due.IsZero() || at.Before(n.due) {
		n.due = at
	}
}

// markDirty queues a part of a job's progress for a batch that is sent within the
// given time.
func (s *Scheduler) markDirty(now time.Time, p part, within time.Duration) {
	s.journal.dirty.add(p)
	s.journal.schedule(now.Add(within))
}

// markEnded queues the final state of a job for a batch that is sent within the given time.
func (s *Scheduler) markEnded(now time.Time, j *job, within time.Duration) {
	s.markDirty(now, part{job: j}, within)
}

// recordWithNext adds the progress of a task to the next batch that has other records.
func (s *Scheduler) recordWithNext(t *task) {
	if p := s.partOf(t); !s.journal.dirty.contains(p) {
		s.journal.dirtyLater.add(p)
	}
}

// deleteRecords queues the deletion of records.
func (s *Scheduler) deleteRecords(now time.Time, keys ...string) {
	for _, k := range keys {
		s.journal.others = append(s.journal.others, otherRecord{Record: platform.Record{Key: k}})
	}
	s.journal.schedule(now.Add(_deletionDelay))
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
	forget := func(l []otherRecord) {
		for i := range l {
			if l[i].host == h {
				l[i].host = nil
			}
		}
	}
	forget(n.others)
	if n.inFlight != nil {
		forget(n.inFlight.others)
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

// collect moves pending records into a batch, up to the store's limit for an append.
func (s *Scheduler) collect(now time.Time) *batch {
	n := &s.journal
	s.refuseUnanswerable(now)
	n.number++
	b := &batch{number: n.number, sent: now, confirms: now}
	n.due = time.Time{}
	limit := s.set.callBytes()
	for len(n.others) > 0 && b.add(n.others[0].Record, limit/_othersDivisor) {
		b.others, n.others = append(b.others, n.others[0]), n.others[1:]
	}
	if (len(n.accepting) > 0 || len(n.dirty.order) > 0) && now.Sub(n.learnedAt) > _learnedInterval && len(s.learned.byQueue) > 0 {
		n.learnedAt = now
		b.add(s.learnedRecord(), limit)
	}
	jobs := min(b.bytes+_maxJobBytes, limit)
	for len(n.accepting) > 0 && b.add(record(JobKey(s.set.Pool, n.accepting[0].def.GetId()), n.accepting[0].def), jobs) {
		b.accepting, n.accepting = append(b.accepting, n.accepting[0]), n.accepting[1:]
	}
	s.collectProgress(b)
	if len(n.dirty.order) == 0 {
		b.ends, n.ends = n.ends, nil
	}
	if n.commits.probe && len(b.records) == 0 {
		b.add(s.learnedRecord(), limit)
	}
	if len(n.others) > 0 || len(n.accepting) > 0 || len(n.dirty.order) > 0 {
		n.due = now
	}
	return b
}

// _othersDivisor is the part of an append that records may take up for which no caller waits.
const _othersDivisor = 2

// collectProgress adds changed progress to a batch.
func (s *Scheduler) collectProgress(b *batch) {
	n := &s.journal
	known := func(p part) bool { return s.jobs[p.job.def.GetId()] == p.job }
	if len(b.records) > 0 || slices.ContainsFunc(n.dirty.order, known) {
		for _, p := range n.dirtyLater.order {
			if !p.job.over() {
				n.dirty.add(p)
			}
		}
		n.dirtyLater = partQueue{}
	}
	for ; len(n.dirty.order) > 0; n.dirty.pop() {
		p := n.dirty.order[0]
		if !known(p) || p.first > 0 && p.job.over() {
			continue // The job was refused in the meantime, or its state is all that counts.
		}
		if !b.add(record(partKey(s.set.Pool, p.job.def.GetId(), p.first), s.progress(p)), s.set.callBytes()) {
			return
		}
		s.noteHeld(p, b.number)
		p.job.noteRecord(p.first)
		b.progress = append(b.progress, progressUpdate{p, endState(p.job)})
	}
}

func (s *Scheduler) learnedRecord() platform.Record {
	return record(LearnedKey(s.set.Pool), s.learned.record(s.queues))
}

// record encodes a message. Marshalling a message built in memory can't fail.
func record(key string, m proto.Message) platform.Record {
	v, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return platform.Record{Key: key, Value: v}
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
	s.journal.accepting = append(b.accepting, s.journal.accepting...)
	for _, j := range b.accepting {
		s.journal.refuseAt.add(j.waitUntil)
	}
	for _, p := range b.progress {
		s.markDirty(now, p.part, _probeInterval)
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
	for _, r := range b.others {
		if h := r.host; h != nil {
			h.recordDurable = true
			h.touch()
			s.replan = true
		}
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
		j, state := p.part.job, p.state
		if state == link.JobState_JOB_STATE_UNSPECIFIED {
			continue
		}
		if j.durableState != state && !j.cancelledInAdvance() {
			s.count(j, endedAs(now, j))
			s.logNote("Job ended.", j.def.GetId(), "state", state.String(), "afterMs", now.Sub(j.arrived).Milliseconds(),
				"objectiveMs", j.objective.Milliseconds(), "predictedMs", j.predicted.Milliseconds())
		}
		j.durableState = state
		for _, r := range j.cancelWaiters {
			s.reply(r, j.cancelAnswer())
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
		if j.cancelledInAdvance() {
			s.inAdvance--
		}
		s.deleteRecords(now, JobKey(s.set.Pool, id), ProgressKey(s.set.Pool, id))
		for _, first := range j.parts {
			s.deleteRecords(now, partKey(s.set.Pool, id, first))
		}
	}
}
