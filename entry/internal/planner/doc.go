// Package planner runs the planning of the fleet on the entry that owns it. A plan
// is a list of records that drain hosts, return them to service, record them as
// lost or move them between pools. The package observes the hosts on every entry,
// so that an entry that takes over planning already has their recent history.
//
// Package plan makes the decisions. This package passes it the current time, the
// platform's list of hosts and the state, and appends the records that it
// proposes:
//
//	p := planner.Planner{Owner: owner, State: follower.WithState, ListHosts: client.Live, Append: appendRecord}
//	if err := p.Start(actorSystem); err != nil {
//		return err
//	}
//
// Package fleet checks each record when it is applied. Records of a planner that
// was paused, or that no longer owns planning, are therefore rejected and do no
// harm. The owner of planning also writes the checkpoints, which allow the log
// to drop older records.
package planner
