package scheduler

import (
	"time"

	"fescuelanding/fleet/work"
)

// encodeCrashes returns the durable form of what is known of crashes under a task, or nil. The task
// has index i in the record.
func encodeCrashes(i int, t *task) *work.Crashes {
	c := t.crashes
	if c.upstreams == 0 || t.done {
		return nil
	}
	return &work.Crashes{
		Task: uint32(i), Upstreams: uint32(c.upstreams), Blamed: uint32(c.blamed),
		LastedMs: uint32(c.lasted.Milliseconds()), GivenUp: c.givenUp,
	}
}

// encodePlacement returns where a task runs, if its run may still crash the upstream, or nil. The task
// has index i in the record.
func encodePlacement(i int, t *task) *work.Placement {
	if t.done || len(t.runs) == 0 || !t.runs[0].recorded() {
		return nil
	}
	r := t.runs[0]
	return &work.Placement{
		Task: uint32(i), Run: uint32(r.number), Upstream: r.host.up.ID, StartUnixMs: r.host.born,
		TrialMs: uint32(r.trial.Milliseconds()),
	}
}

// recorded reports whether the journal names the run, so that a later owner knows what ran on an
// upstream that has crashed meanwhile.
func (r *run) recorded() bool { return !r.crashCounted && !r.settled(max(r.trial, _settleTime)) }

// restoreCrashes returns what former owners knew of crashes under a task.
func restoreCrashes(m *work.Crashes) crashes {
	return crashes{
		upstreams: int(m.GetUpstreams()), blamed: int(m.GetBlamed()), lasted: milliseconds(m.GetLastedMs()),
		givenUp: m.GetGivenUp(),
	}
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// inheritedRun is a run that a former owner may have started.
type inheritedRun struct {
	task      *task
	placement *work.Placement
}

// restoreRuns adds the runs that former owners may have started. If the upstream has crashed
// since, that counts against their tasks. An upstream that is no longer recorded was dropped after
// its end had been handled.
func (s *Scheduler) restoreRuns(now time.Time) {
	crashed := make(map[*host][]*run)
	for _, x := range s.inheritedRuns {
		p := x.placement
		h := s.hosts.get(p.GetUpstream())
		if h == nil || x.task.step.occurrence.job.over() {
			continue
		}
		r := &run{
			task: x.task, number: int64(p.GetRun()), state: runUnconfirmed, ordered: now, progressedAt: now,
			percent: -1, pace: 100, trial: min(milliseconds(p.GetTrialMs()), _trustTime), inherited: true,
		}
		r.task.lastRun = max(r.task.lastRun, r.number)
		s.attach(r, h)
		if p.GetStartUnixMs() < h.born {
			crashed[h] = append(crashed[h], r)
		}
	}
	s.inheritedRuns = nil
	for _, h := range s.hosts.all() {
		hopeless := s.recordCrash(now, h, "restarted before the takeover", crashed[h])
		for _, r := range crashed[h] {
			s.release(now, r)
		}
		s.giveUp(now, hopeless)
	}
}
