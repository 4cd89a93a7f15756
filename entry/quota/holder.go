package quota

import (
	"maps"
	"time"

	"fescuelanding/fleet/permit"
	"fescuelanding/platform"
)

// Validity is how long an owner starts tasks under its shares after the report which they
// answer. It bounds for how long an owner that can't be reached goes on under a limit that
// was lowered, and how long starts don't depend on the planner.
const Validity = 2500 * time.Millisecond

// _keptReports is the number of reports that a grant may answer. At the interval of the
// exchanges, they cover Validity.
const _keptReports = 32

// Share is what a pool may have running of a workspace.
type Share struct {
	Amount Amount
	// Reach is what the pool could get if it asked for all that other pools don't use.
	Reach Amount
}

// Grant carries the shares of a pool. The zero value says nothing about shares.
type Grant struct {
	// Owner and Report name the report that the grant answers.
	Owner, Report int64
	// Shares has the share of each workspace with a limit.
	Shares map[string]Share
}

// Use is what a workspace uses of a pool.
type Use struct {
	// Running is requested by the runs that may be running, Waiting by the tasks that could
	// start if the share allowed it.
	Running, Waiting Amount
	// Unit is the request of the largest waiting task, or gang as a whole.
	Unit Amount
}

// Report is an owner's answer to a grant.
type Report struct {
	Owner, Number int64
	// Shares are those that the owner has; zero once they have lapsed.
	Shares map[string]Amount
	Use    map[string]Use
}

// Holder decides which tasks may start in a pool, by the workspace's share.
type Holder struct {
	owner int64
	// limits has the workspaces that have a limit by the configuration.
	limits map[string]Amount
	// shares may be used until Validity after since, the time of the report that they answer.
	shares map[string]Share
	since  time.Time
	// running is requested by the runs that may be running. unknown is requested by runs of
	// former owners that may be running without having been found yet.
	running, unknown map[string]Amount
	// reported has the times of the last reports, by number modulo its length.
	reported [_keptReports]time.Time
	reports  int64
}

// NewHolder returns the holder of an owner with a fencing token. It has no shares.
func NewHolder(owner int64) Holder {
	return Holder{owner: owner, running: make(map[string]Amount)}
}

// Configure replaces the workspaces.
func (h *Holder) Configure(l []platform.Workspace) {
	h.limits = limits(l)
	h.shares = maps.Clone(h.shares)
	maps.DeleteFunc(h.shares, func(w string, _ Share) bool {
		_, ok := h.limits[w]
		return !ok
	})
}

// Limited reports whether a workspace has a limit.
func (h *Holder) Limited(workspace string) bool {
	if _, ok := h.limits[workspace]; ok {
		return true
	}
	_, ok := h.shares[workspace]
	return ok
}

// Limit returns the limit of a workspace by the configuration, with Unlimited for what has
// none.
func (h *Holder) Limit(workspace string) Amount {
	if l, ok := h.limits[workspace]; ok {
		return l
	}
	return bound(Amount{})
}

// Count adds n runs that request an amount each; n may be negative. Runs of a workspace
// without a limit count too, as it may get one.
func (h *Holder) Count(workspace string, each Amount, n int64) {
	a := Sum(h.running[workspace], Scale(each, n))
	if a == (Amount{}) {
		delete(h.running, workspace)
		return
	}
	h.running[workspace] = a
}

// SetUnknown replaces what former owners' runs that weren't found yet may request.
func (h *Holder) SetUnknown(m map[string]Amount) { h.unknown = m }

// Running returns what a workspace may have running.
func (h *Holder) Running(workspace string) Amount {
	return Sum(h.running[workspace], h.unknown[workspace])
}

// Workspaces calls f for each workspace that has a limit or a share.
func (h *Holder) Workspaces(f func(workspace string)) {
	for w := range h.limits {
		f(w)
	}
	for w := range h.shares {
		if _, ok := h.limits[w]; !ok {
			f(w)
		}
	}
}

// Apply replaces the shares by those of a grant. It ignores a grant for another owner and
// one that answers no recent report.
func (h *Holder) Apply(now time.Time, g Grant) {
	if g.Owner != h.owner || g.Report <= 0 || g.Report > h.reports || g.Report <= h.reports-_keptReports {
		return
	}
	since := h.reported[g.Report%_keptReports]
	if lapsed(now, since) {
		return
	}
	h.shares, h.since = g.Shares, since
}

// lapsed reports whether shares that answer a report of some time may no longer be used.
func lapsed(now, reported time.Time) bool { return permit.New(reported, Validity).Expired(now) }

// Suspended notes that the process was suspended for a time that the clock doesn't count.
func (h *Holder) Suspended(d time.Duration) {
	h.since = h.since.Add(-d)
	for i := range h.reported {
		h.reported[i] = h.reported[i].Add(-d)
	}
}

// Share returns the share of a workspace that may be used now.
func (h *Holder) Share(now time.Time, workspace string) Share {
	if !h.Limited(workspace) {
		return Share{bound(Amount{}), bound(Amount{})}
	}
	if lapsed(now, h.since) {
		return Share{}
	}
	return h.shares[workspace]
}

// Allows reports whether tasks that request an amount together may start.
func (h *Holder) Allows(now time.Time, workspace string, request Amount) bool {
	if !h.Limited(workspace) {
		return true
	}
	return fits(Sum(h.Running(workspace), request), request, h.Share(now, workspace).Amount)
}

// Report returns the owner's report without what waits, and notes its time. The time must
// not be later than that of the decisions which the report covers.
func (h *Holder) Report(now time.Time) Report {
	h.reports++
	h.reported[h.reports%_keptReports] = now
	r := Report{Owner: h.owner, Number: h.reports, Shares: make(map[string]Amount), Use: make(map[string]Use)}
	for w := range h.running {
		r.Use[w] = Use{Running: h.Running(w)}
	}
	h.Workspaces(func(w string) {
		r.Use[w] = Use{Running: h.Running(w)}
		if _, ok := h.shares[w]; ok {
			r.Shares[w] = h.Share(now, w).Amount
		}
	})
	return r
}
