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
// # Terms
//
// A job consists of steps, and a step of tasks of the same size. A recurring job
// has several occurrences, each of which executes all steps; any other job has
// one. A run is one start of a task on an upstream, under a number that rises
// with each start of the task. The end of a run is its outcome as the upstream
// lists it; each upstream numbers the ends of its runs from one.
//
// An upstream is a server that executes runs on a host of the pool, and the type
// host is the state that the scheduler keeps of it. An upstream that restarts
// under its ID is a new incarnation: its clock and its end numbers start anew.
//
// The owner is the entry that holds the pool's fencing token and drives the
// Scheduler. The planner decides which hosts a pool has: it announces new
// capacity, requests upstreams to be vacated, and reports incarnations that have
// ended. A queue may have a policy, an outside service that grants tickets: a step
// of such a queue may run only on upstreams for which it has a ticket.
//
// # What is durable, and when
//
// A job is accepted or cancelled once the record of it has been appended. The end
// of a task is appended before the upstream may discard it, and before the job is
// reported as completed. Where a task runs needn't be appended: a new owner reads that
// from the upstreams, after fencing off the former owner with its higher token. Runs that
// have just started go along with other records, because their upstream may crash before
// it is read.
// Only the set of upstreams in use is appended, so that a new owner knows which
// ones it has to poll before it places jobs accepted by a former owner.
//
// # Tasks that crash their upstreams
//
// A crash of an upstream ends all runs on it, and doesn't tell which of them caused it. It
// counts against those that hadn't lasted for long. A suspect's next run is on trial, so
// that a further crash has one cause; a task that is to blame is given up. What is known of
// crashes is in the progress of the job, and is durable before the task starts again.
//
// # Tasks that a step can't miss
//
// A long-running step may bound how many of its tasks are unavailable by the owner's doing. Each stop of
// one asks for that when it is sent, also when it is sent again. A stop that isn't allowed any more is
// withdrawn, and a start without an answer is sent again under its number rather than ruled out.
//
// # Limits of workspaces
//
// A workspace's limit holds over all pools. The planner gives each pool a share of it. A
// task starts only while the workspace's runs in this pool stay within the share, a gang
// only as a whole. All runs that may be running count: ordered, unconfirmed, running,
// stopping, and those that a former owner may have on upstreams that weren't polled yet.
// What workspaces without a limit have running is bounded by the room on upstreams alone.
//
// # At most one run of a task
//
// A task is placed again only when its former run can't be running any more: the
// upstream listed its end, or confirmed a stop and no longer lists the run, or
// the incarnation that is known to have it has ended, or the run's lease has lapsed even on the
// slowest clock, at a time at which the store confirms that this entry was still the
// owner: a later owner may have renewed the lease. If the incarnation has ended, the next start
// waits for an append, because a later owner may have read before that the task was done.
//
// Calls don't name an incarnation, so that the next one under the ID may take a start that was meant for the
// former one. An upstream's list names the incarnation that has a run, and the clock in the answer to a start
// tells it. A run that may be in a later incarnation outlasts the report that the known one has ended.
package scheduler
