// Package scheduler decides for the jobs of one pool: which jobs are accepted,
// where and when each task runs, what is written to the journal, and what callers
// are told.
//
// A Scheduler is a state machine without clock, network or goroutines. Its owner
// feeds it events with the current time, carries out the returned ops, and wakes
// it at the time that Next returns:
//
//	s := scheduler.New(scheduler.Settings{Pool: "fitting-desk", Token: 7})
//	for _, op := range s.Step(now, scheduler.Submitted{Ref: 1, Job: j}) {
//		// Carry it out and feed the result back as another event.
//	}
//
// # What is durable, and when
//
// A job is accepted or cancelled once the record of it has been appended. The end
// of a task is appended before the upstream may discard it, and before the job is
// reported as completed. Where a task runs isn't appended: a new owner reads that
// from the upstreams, after fencing off the former owner with its higher token.
// Only the set of upstreams in use is appended, so that a new owner knows which
// ones it has to poll before it places jobs accepted by a former owner.
//
// # At most one run of a task
//
// A task is placed again only when its former run can't be running any more: the
// upstream listed its end, or confirmed a stop and no longer lists the run, or
// the upstream's incarnation has ended, or the run's lease has lapsed even on the
// slowest clock.
package scheduler
