package site

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"
)

const (
	// _cancelTime is how long after its job was cancelled a task may start, _stopTime how long a
	// stop takes.
	_cancelTime = 3 * time.Second
	_stopTime   = 400 * time.Millisecond
	// _judgeInterval is the time between two checks of cancelled jobs, _judgeSlack how much later
	// than by the rules a task may end, as processes share the machine with the site.
	_judgeInterval = 50 * time.Millisecond
	_judgeSlack    = 250 * time.Millisecond
)

// RecordCancel records that a caller is about to cancel a job.
func (s *Site) RecordCancel(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobs[id]; j != nil {
		j.cancelling = true
	}
}

// RecordCancelAnswer records the answer of an entry to a caller who cancels a job. One that says that
// there is no such job promises that it won't run either.
func (s *Site) RecordCancelAnswer(id, entry string, status int) {
	if status != http.StatusOK && status != http.StatusGone {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobs[id]; j != nil && j.cancelledAt.IsZero() {
		j.cancelledAt, j.cancelledBy = time.Now(), entry
		s.log(fmt.Sprintf("%s is cancelled, by an answer %d of %s", id, status, entry))
	}
}

// judgeCancelled checks cancelled jobs periodically until Stop.
func (s *Site) judgeCancelled() {
	t := time.NewTicker(_judgeInterval)
	defer t.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-t.C:
			s.checkCancelled(time.Now())
		}
	}
}

// checkCancelled checks that no task of a cancelled job runs on, once the site has been quiet for as long
// as its end may take. A start that was carried out late is a fault until then.
func (s *Site) checkCancelled(now time.Time) {
	quiet, ok := s.faults.quietSince()
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range slices.Sorted(maps.Keys(s.tasks)) {
		d := s.tasks[n]
		j := s.jobs[d.name.Job]
		if j == nil || j.cancelledAt.IsZero() || !d.running(now) {
			continue
		}
		since := quiet
		if j.cancelledAt.After(since) {
			since = j.cancelledAt
		}
		if now.Sub(since) <= _cancelTime+_stopTime+_judgeSlack {
			continue
		}
		for i := range d.current {
			if r := &d.current[i]; !r.judged {
				r.judged = true
				s.addViolation("%s runs on though its job was cancelled", r.name)
				s.log(fmt.Sprintf("%s on %s, last ordered by %s, cancelled by %s %v ago, quiet for %v",
					r.name, r.upstream.machine, d.startedBy, j.cancelledBy, now.Sub(j.cancelledAt), now.Sub(quiet)))
			}
		}
	}
}
