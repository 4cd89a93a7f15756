// Package scheduler decides for the jobs of one pool: which are accepted, which
// task runs where and when, what is written to the journal, and what a caller
// is told.
//
// A Scheduler is a state machine without clock, network or goroutine. Its owner
// feeds it events with the present time, carries out the ops that it returns,
// and wakes it at Next:
//
//	s := scheduler.New(scheduler.Settings{Pool: "fitting-desk", Token: 7})
//	for _, op := range s.Step(now, scheduler.Submitted{Ref: 1, Job: j}) {
//		// Carry it out; its result is another event.
//	}
//
// # What is durable, and when
//
// A job is accepted, and cancelled, once its record has been appended. The end
// of a task is appended before the upstream is told to forget it, and before
// the job is shown as completed. Where a task runs isn't appended: a later
// owner reads it from the upstreams, which it shuts to the former one by its
// higher token first. Only the upstreams in use are, so that the later owner
// knows whom it has to hear before it places what was accepted before its time.
//
// # At most one run of a task
//
// A task is placed again only when its former run can't be running: its end was
// listed, a stop was answered and the run isn't listed after it, the upstream's
// life is over, or the lease that it was given has lapsed even on a slow clock.
package scheduler
