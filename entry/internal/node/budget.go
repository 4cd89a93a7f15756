package node

import (
	"context"
	"time"

	"fescuelanding/entry/link"
)

// _storeCallsPerCall is how many calls to the store a submission may wait for: the append in
// flight, its own, and as much again because their times vary.
const _storeCallsPerCall = 4

// withBudget returns a call that says how long this attempt at it may take, so that the owner
// refuses a job before the attempt ends with its outcome unknown. The attempt may take longer
// while the store is slow; storeTime is what a call to it takes. The call also says under which version of the
// configuration it is made. Calls other than submissions are
// returned as they are.
func withBudget(ctx context.Context, now time.Time, q *link.Call, storeTime time.Duration, version int64) *link.Call {
	b, ok := q.GetBody().(*link.Call_Submit)
	if !ok {
		return q
	}
	left := max(_callTimeout, _storeCallsPerCall*storeTime)
	if t, ok := ctx.Deadline(); ok {
		left = max(min(left, t.Sub(now)), time.Millisecond)
	}
	s := &link.Submit{Job: b.Submit.GetJob(), BudgetMs: left.Milliseconds(), Version: version}
	return &link.Call{Pool: q.GetPool(), Credential: q.GetCredential(), Body: &link.Call_Submit{Submit: s}}
}

// callLimit returns how long an attempt at a call may take.
func callLimit(q *link.Call) time.Duration {
	return max(_callTimeout, time.Duration(q.GetSubmit().GetBudgetMs())*time.Millisecond)
}
