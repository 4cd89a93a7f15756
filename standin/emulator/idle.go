package emulator

import (
	"slices"
	"time"

	"fescuelanding/entry/link"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

const (
	_idleCheckInterval = 250 * time.Millisecond
	// _maxIdleTime is how long after its last run a long-running task may be idle while the
	// platform is calm.
	_maxIdleTime = 9 * time.Second
	// _calmTime is how long the platform must have been without a fault for an idle task
	// to be a violation.
	_calmTime = 7 * time.Second
	// _roomTime is how long an upstream must have been up to count as room: as long as the
	// task must have been idle beside it.
	_roomTime = 3 * time.Second
)

// checkIdleTasks checks periodically that the long-running tasks of accepted jobs run,
// while the platform is calm and has room for them.
func (w *World) checkIdleTasks() {
	if w.now-w.lastFaultEnd() >= _calmTime {
		for _, id := range sortedKeys(w.ledger.jobs) {
			if j := w.ledger.jobs[id]; j.accepted > 0 && !j.cancelRequested && j.lastState != link.JobState_JOB_STATE_FAILED {
				w.checkIdleTasksOf(j)
			}
		}
	}
	w.after(_idleCheckInterval, w.checkIdleTasks)
}

func (w *World) checkIdleTasksOf(j *jobRecord) {
	for k, d := range j.def.GetSteps() {
		if !d.GetLongRunning() {
			continue
		}
		for i := range int(d.GetCount()) {
			n := platform.TaskName{Job: j.def.GetId(), Step: k, Index: i}
			since, idle := w.ledger.idleSince(j, n)
			if t := w.ledger.tasks[n.String()]; t != nil && t.crashed() >= 2 {
				continue // It may have been given up.
			}
			if idle && w.now-since >= _maxIdleTime && w.hasRoom(j, k, d) && w.underHalfOfLimit(j.def.GetWorkspace()) {
				w.ledger.addViolation("LOST", "long-running task %s hasn't run since %v, with room for it", n, since.Round(time.Millisecond))
			}
		}
	}
}

// idleSince returns since when a task hasn't run, if it isn't running.
func (l *ledger) idleSince(j *jobRecord, n platform.TaskName) (time.Duration, bool) {
	since := j.accepted
	t := l.tasks[n.String()]
	if t == nil {
		return since, true
	}
	for _, r := range t.runs {
		if r.outcome == "" {
			return 0, false
		}
		since = max(since, r.endedAt)
	}
	return since, true
}

// hasRoom reports whether some upstream of a job's pool could run another task of a
// long-running step. If its route feeds several pools over time, each must have such an upstream.
func (w *World) hasRoom(j *jobRecord, k int, d *work.Step) bool {
	if w.rerouting == nil {
		return w.poolHasRoom(j.def.GetPool(), j, k, d)
	}
	return !slices.ContainsFunc(w.pools, func(pool string) bool { return !w.poolHasRoom(pool, j, k, d) })
}

// poolHasRoom reports that of a pool. Tasks that end don't count, as long-running ones go before them.
func (w *World) poolHasRoom(pool string, j *jobRecord, k int, d *work.Step) bool {
	for _, u := range w.upstreams {
		if u.down || u.host.state != platform.MachineUp || u.host.pool != pool || w.now-u.startedAt < _roomTime ||
			!w.policy.allows(w, platform.StepName(j.def.GetId(), 0, k), u) {
			continue
		}
		used, same := int64(0), int32(0)
		for _, r := range u.runs {
			if t := r.record.task; t.longRunning {
				used += t.cpu
				if t.job == j && t.name.Step == k {
					same++
				}
			}
		}
		if n := d.GetAntiAffinity(); (n == 0 || same < n) && used+d.GetMilliCpu() <= u.report.Capacity.MilliCPU {
			return true
		}
	}
	return false
}

// lastFaultEnd returns when the last fault so far ends, which may be in the future.
func (w *World) lastFaultEnd() time.Duration {
	end := max(w.fault.lastEnd, w.crashedUntil, w.lateOrders.end(), w.restarts.end(), w.policy.faultEnd())
	for _, e := range w.entries {
		end = max(end, e.faultUntil)
	}
	for _, until := range w.net.cut {
		end = max(end, until)
	}
	for _, u := range w.upstreams {
		end = max(end, u.lateUntil, u.answersLostUntil, u.stalledUntil)
	}
	return end
}
