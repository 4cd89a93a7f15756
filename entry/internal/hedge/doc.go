// Package hedge repeats calls whose answers may have been lost. It serves calls that may be
// carried out any number of times, such as numbered appends and joins of a group.
//
//	m, err := hedge.Do(ctx, &caller, func(ctx context.Context) (Membership, error) { ... })
//
// A call without an answer may have reached a server that is slow, or its answer may be lost.
// The two look alike until an answer comes. Pace therefore waits for a multiple of the time that
// answers take. It repeats further at growing intervals, as a slow server works on each repeat.
// Once a repeat was answered before the attempt that it repeats, answers do get lost, and the
// intervals stay short.
package hedge
