package scheduler

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"fescuelanding/entry/link"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// A version of the configuration may have a route feed another pool. A submission that was accepted in the
// former one may come again, at an entry with any version, and must not be accepted anew.
//
// The home of each route is recorded in the store, with the pools before. An owner accepts a job that it
// doesn't know only on a route whose record names its pool, and once the owner of each former pool
// has released the route: that owner has proved that it was still the owner when it was asked, accepts no
// more jobs on the route, and has listed those that it has. A later owner of the former pool reads the
// record after it has fenced off that one. So an ID has one job, in whatever order two submissions arrive.
// The list is asked for once by each owner. After that, submissions need no more messages.

const (
	// _releaseRetryDelay is the pause before a former owner is asked again for a release.
	_releaseRetryDelay = 200 * time.Millisecond
	// _maxHeldJobs is the number of jobs in an answer to a request for a release, and _maxHeldBytes the
	// size of their names, which leaves room in a message of the link.
	_maxHeldJobs  = 10_000
	_maxHeldBytes = 512 << 10
	// _heldJobBytes is what a job takes in an answer beside its names, at most.
	_heldJobBytes = 16
	// _maxRouteKey is the length from which the end of a route's key is replaced by its hash, as the store
	// limits keys.
	_maxRouteKey = 200
)

// RouteKey returns the key of a route's record: its host and path prefix.
func RouteKey(q platform.Queue) string {
	k := q.Host + " " + q.Prefix
	if len(k) <= _maxRouteKey {
		return k
	}
	h := sha256.Sum256([]byte(k))
	return k[:_maxRouteKey] + hex.EncodeToString(h[:8])
}

// homes is what an owner knows of the routes to its pool and their homes. The zero value is ready for use.
type homes struct {
	version int64
	// pools are the pools that have owners.
	pools []string
	// records are those that were read, by route; byQueue are the homes of the configured queues.
	records map[string]*work.Home
	byQueue map[string]*home
	// finding is set while records are read and written.
	finding bool
	// released are the routes that another pool has asked for, with the version.
	released map[string]int64
	// requests are those of other pools that aren't answered yet.
	requests []releaseRequest
	// unreleased is set while a home may wait for former pools. asking are those with a request under way;
	// there is no further one before retryAt.
	unreleased bool
	asking     map[string]RequestRelease
	retryAt    time.Time
}

// home is the state of a route to this pool.
type home struct {
	queue platform.Queue
	// settled is set once its record names this pool.
	settled bool
	// former are the pools that haven't released it yet, with the names of its queue there.
	former map[string][]string
	// elsewhere maps the jobs that former pools have to their workspaces.
	elsewhere map[string]string
}

// releaseRequest is a request for a release, received at some time.
type releaseRequest struct {
	event ReleaseRequested
	at    time.Time
}

// UpdateHomes returns the homes of the routes of a pool under a version of the configuration, given the
// records so far, and those of them that have to be written. A record of a later version stays.
func UpdateHomes(records map[string]*work.Home, pool string, version int64, queues []platform.Queue) (all, changed map[string]*work.Home) {
	all, changed = make(map[string]*work.Home, len(queues)), make(map[string]*work.Home)
	for _, q := range queues {
		k := RouteKey(q)
		r := records[k]
		if r != nil && (r.GetVersion() > version || r.GetPool() == pool && r.GetQueue() == q.Name) {
			all[k] = r
			continue
		}
		n := &work.Home{Pool: pool, Queue: q.Name, Version: version}
		if r != nil {
			n.Former = append(n.Former, r.GetFormer()...)
			n.Former = append(n.Former, &work.FormerHome{Pool: r.GetPool(), Queue: r.GetQueue()})
			n.Former = slices.CompactFunc(slices.DeleteFunc(n.Former, func(f *work.FormerHome) bool { return f.GetPool() == pool }),
				func(a, b *work.FormerHome) bool { return proto.Equal(a, b) })
		}
		all[k], changed[k] = n, n
	}
	return all, changed
}

// configureHomes notes the routes to the pool.
func (s *Scheduler) configureHomes(now time.Time, e Configured) {
	if !s.set.TrackHomes || e.Version < s.homes.version {
		return
	}
	n := &s.homes
	former := n.byQueue
	n.version, n.pools, n.byQueue = e.Version, e.Pools, make(map[string]*home, len(e.Queues))
	for _, q := range e.Queues {
		if h := former[q.Name]; h != nil && RouteKey(h.queue) == RouteKey(q) {
			n.byQueue[q.Name] = h
			continue
		}
		n.byQueue[q.Name] = &home{queue: q}
	}
	s.settleHomes(now)
	s.answerPending(now)
}

// settleHomes settles the homes whose records are known, and has the others found.
func (s *Scheduler) settleHomes(now time.Time) {
	n := &s.homes
	if !s.loaded || n.finding {
		return
	}
	var unknown []platform.Queue
	for _, name := range slices.Sorted(maps.Keys(n.byQueue)) {
		h := n.byQueue[name]
		k := RouteKey(h.queue)
		if h.settled {
			continue
		}
		r := n.records[k]
		if _, asked := n.released[k]; asked || r.GetPool() != s.set.Pool || r.GetQueue() != name {
			if r.GetVersion() <= n.version {
				unknown = append(unknown, h.queue)
			}
			continue
		}
		h.settled, h.former, h.elsewhere = true, make(map[string][]string), make(map[string]string)
		for _, f := range r.GetFormer() {
			if slices.Contains(n.pools, f.GetPool()) {
				h.former[f.GetPool()] = append(h.former[f.GetPool()], f.GetQueue())
			}
		}
		if len(h.former) > 0 {
			n.unreleased = true
			s.logNote("Queue was fed to other pools before; their owners are asked for its jobs.", "", "queue", name,
				"former", slices.Sorted(maps.Keys(h.former)), "version", n.version)
		}
	}
	if len(unknown) > 0 {
		n.finding = true
		s.emit(FindHomes{Version: n.version, Queues: unknown})
	}
	s.requestReleases(now)
}

// homesFound handles the records that were read or written.
func (s *Scheduler) homesFound(now time.Time, e HomesFound) {
	n := &s.homes
	n.finding = false
	if n.records == nil {
		n.records = make(map[string]*work.Home)
	}
	for k, r := range e.Homes {
		n.records[k] = r
		if r.GetPool() == s.set.Pool && n.released[k] < r.GetVersion() {
			delete(n.released, k)
		}
		if r.GetPool() != s.set.Pool {
			s.logNote("A later version of the configuration has the route feed another pool.", "", "route", k, "pool", r.GetPool(),
				"version", r.GetVersion(), "own", n.version)
		}
	}
	s.settleHomes(now)
	s.answerPending(now)
}

// requestReleases asks the owners of former pools to release the routes.
func (s *Scheduler) requestReleases(now time.Time) {
	n := &s.homes
	if !n.unreleased || now.Before(n.retryAt) {
		return
	}
	n.unreleased = false
	asks := make(map[string]RequestRelease)
	for _, name := range slices.Sorted(maps.Keys(n.byQueue)) {
		h := n.byQueue[name]
		n.unreleased = n.unreleased || len(h.former) > 0
		for _, pool := range slices.Sorted(maps.Keys(h.former)) {
			if _, asked := n.asking[pool]; asked {
				continue
			}
			a := asks[pool]
			a.Pool, a.Version = pool, n.version
			a.Routes, a.Queues = append(a.Routes, RouteKey(h.queue)), append(a.Queues, h.former[pool]...)
			asks[pool] = a
		}
	}
	for _, pool := range slices.Sorted(maps.Keys(asks)) {
		s.askRelease(asks[pool])
	}
}

func (s *Scheduler) askRelease(a RequestRelease) {
	if s.homes.asking == nil {
		s.homes.asking = make(map[string]RequestRelease)
	}
	s.homes.asking[a.Pool] = a
	s.emit(a)
}

// poolReleased handles the answer of the owner of a former pool.
func (s *Scheduler) poolReleased(now time.Time, e PoolReleased) {
	n := &s.homes
	a, asked := n.asking[e.Pool]
	if !asked {
		return
	}
	delete(n.asking, e.Pool)
	if e.Answer.GetOutcome() != link.Outcome_OUTCOME_OK {
		n.retryAt = now.Add(_releaseRetryDelay)
		s.logNote("Former pool has not released its routes; it is asked again.", "", "pool", e.Pool, "routes", a.Routes,
			"outcome", e.Answer.GetOutcome().String())
		return
	}
	last := a.After
	for _, h := range n.byQueue {
		if _, waits := h.former[e.Pool]; !waits || !slices.Contains(a.Routes, RouteKey(h.queue)) {
			continue
		}
		for _, w := range e.Answer.GetHeld() {
			for _, id := range w.GetJobs() {
				h.elsewhere[id] = w.GetWorkspace()
				last = max(last, id)
			}
		}
		if !e.Answer.GetMore() {
			delete(h.former, e.Pool)
			s.logNote("Former pool has released a route.", "", "pool", e.Pool, "queue", h.queue.Name, "jobs", len(h.elsewhere))
		}
	}
	if e.Answer.GetMore() {
		a.After = last
		s.askRelease(a)
		return
	}
	s.requestReleases(now)
	s.answerPending(now)
}

// unknownJob decides about a submission of a job that this pool doesn't have. It reports whether the
// job may be admitted; otherwise the submission was answered or waits.
func (s *Scheduler) unknownJob(now time.Time, e Submitted) bool {
	if !s.set.TrackHomes {
		return true
	}
	h := s.homes.byQueue[e.Job.GetQueue()]
	if h == nil && e.Version <= s.homes.version {
		// Another entry has an earlier configuration. The job may have been accepted in the route's present pool.
		s.logNote("Job isn't accepted, because its queue feeds another pool.", e.Job.GetId(), "queue", e.Job.GetQueue(), "version", e.Version,
			"own", s.homes.version)
		s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_UNKNOWN})
		return false
	}
	if h == nil || !h.settled || len(h.former) > 0 {
		s.addPending(now, e)
		return false
	}
	w, accepted := h.elsewhere[e.Job.GetId()]
	switch {
	case !accepted:
		return true
	case w != e.Job.GetWorkspace():
		s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_DENIED})
	default:
		s.logNote("Job was accepted in a former pool of its queue.", e.Job.GetId(), "queue", e.Job.GetQueue())
		s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_OK})
	}
	return false
}

// releaseRoutes handles the request of another pool's owner for a release. It is refused if this owner knows a
// configuration that is at least as new and still feeds the route to this pool.
func (s *Scheduler) releaseRoutes(now time.Time, e ReleaseRequested) {
	n := &s.homes
	for _, h := range n.byQueue {
		if k := RouteKey(h.queue); slices.Contains(e.Routes, k) && e.Version <= n.version {
			s.logNote("Release of a route is refused, because it feeds this pool.", "", "route", k, "version", e.Version, "own", n.version)
			s.reply(e.Ref, &link.Answer{Outcome: link.Outcome_OUTCOME_GONE})
			return
		}
	}
	if n.released == nil {
		n.released = make(map[string]int64)
	}
	for _, k := range e.Routes {
		n.released[k] = max(n.released[k], e.Version)
	}
	for _, h := range n.byQueue {
		if slices.Contains(e.Routes, RouteKey(h.queue)) {
			h.settled, h.former, h.elsewhere = false, nil, nil
		}
	}
	n.requests = append(n.requests, releaseRequest{e, now})
}

// answerReleases answers the requests for releases once this owner has proved that it was the owner when
// they came, and its appends in flight have been answered.
func (s *Scheduler) answerReleases(now time.Time) {
	n := &s.homes
	n.requests = slices.DeleteFunc(n.requests, func(r releaseRequest) bool {
		accepting := slices.ContainsFunc(s.active, func(j *job) bool { return !j.durable && s.mayBeOn(j, r.event) })
		if accepting || !s.ownedAt(now, r.at) {
			return false
		}
		s.reply(r.event.Ref, s.heldJobs(r.event))
		return true
	})
}

// mayBeOn reports whether a job may have been submitted on one of the routes of a request: on one of
// their queues, or on one that doesn't feed this pool any more.
func (s *Scheduler) mayBeOn(j *job, e ReleaseRequested) bool {
	name := j.def.GetQueue()
	if j.cancelledInAdvance() {
		return false
	}
	q, configured := s.queues[name]
	return !configured || slices.Contains(e.Queues, name) || slices.Contains(e.Routes, RouteKey(q))
}

// heldPage returns how many of the jobs with some IDs fit into an answer; one does in any case.
func (s *Scheduler) heldPage(ids []string) int {
	size := 0
	for i, id := range ids {
		size += len(id) + len(s.jobs[id].def.GetWorkspace()) + _heldJobBytes
		if i == _maxHeldJobs || i > 0 && size > _maxHeldBytes {
			return i
		}
	}
	return len(ids)
}

// heldJobs lists the jobs of this pool that may have been submitted on the routes of a request.
func (s *Scheduler) heldJobs(e ReleaseRequested) *link.Answer {
	a := &link.Answer{Outcome: link.Outcome_OUTCOME_OK}
	var ids []string
	for id, j := range s.jobs {
		if id > e.After && s.mayBeOn(j, e) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	if n := s.heldPage(ids); n < len(ids) {
		ids, a.More = ids[:n], true
	}
	byWorkspace := make(map[string]*link.Held)
	for _, id := range ids {
		w := s.jobs[id].def.GetWorkspace()
		if byWorkspace[w] == nil {
			byWorkspace[w] = &link.Held{Workspace: w}
			a.Held = append(a.Held, byWorkspace[w])
		}
		byWorkspace[w].Jobs = append(byWorkspace[w].Jobs, id)
	}
	slices.SortFunc(a.Held, func(x, y *link.Held) int { return strings.Compare(x.GetWorkspace(), y.GetWorkspace()) })
	s.logNote("Routes are released to another pool.", "", "routes", e.Routes, "version", e.Version, "jobs", len(ids), "more", a.GetMore())
	return a
}
