package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fescuelanding/standin/site"
)

const (
	_callers        = 8
	_maxOpenJobs    = 30
	_maxLongRunning = 5
	// _minEntries and _maxEntries bound the number of entries of most seeds; one seed of
	// _manyEvery has _manyEntries.
	_minEntries  = 3
	_maxEntries  = 5
	_manyEvery   = 10
	_manyEntries = 12
	// _drain is how long jobs are submitted after the last fault.
	_drain = time.Second
	_poll  = 50 * time.Millisecond
)

// The bounds of the platform's rules, counted from the last fault.
const (
	// _recovery is the time after which each entry accepts jobs.
	_recovery = 12 * time.Second
	// _finish is the time after which all jobs have ended.
	_finish = 14 * time.Second
	// _calm is how long the system has been without faults before a missing long-running
	// task counts, _idle how long it may be missing then, and _restart how long it may be
	// missing after its last run.
	_calm    = 4 * time.Second
	_idle    = 3 * time.Second
	_restart = 6 * time.Second
	// _stopped is the time after which no task of a cancelled job runs.
	_stopped = _cancelTime + 400*time.Millisecond
)

// _queues are the queues of the site.
var _queues = []string{"sizes", "deposits", "policed"}

// Soak runs entries under the schedule of a seed.
type Soak struct {
	// Program is the path of the entry's program, Dir a directory for files.
	Program, Dir string
	// Out gets the output of the entries, and the events and violations with their times.
	Out  io.Writer
	Seed uint64
	// Entries is the number of entries; zero for one that the seed determines.
	Entries int
	// Faults is how long faults are injected.
	Faults time.Duration
	// Splits adds cuts of paths, see Options.
	Splits bool
	// Restarts adds waves of crashes, see Options.
	Restarts bool
	// Stalls adds entries that are stopped while hosts begin again, see Options.
	Stalls bool
	// OldProgram is the path of an old build of the entry's program. Unless it is empty, all
	// entries run it at first and are upgraded while faults go on.
	OldProgram string

	site    *site.Site
	entries []*entry
	begin   time.Time
	// failShare is the share of jobs whose runs fail.
	failShare float64

	keys                 keyring
	submitting           atomic.Bool
	requests, unanswered atomic.Int64
	// late counts the requests on connections that had been opened before their entry got
	// SIGTERM.
	late atomic.Int64

	mu         sync.Mutex
	jobs       []*job
	violations []string
	known      map[string]bool
}

// Result is the result of a soak.
type Result struct {
	Seed       uint64
	Violations []string
	Schedule   Schedule

	entries, events, accepted, refused int
	requests, unanswered, late         int64
	runs, moves, upkeeps               int
	took                               time.Duration
}

// String returns the result in one line.
func (r Result) String() string {
	s := "ok"
	if n := len(r.Violations); n > 0 {
		s = fmt.Sprintf("FAILED with %d violations", n)
	}
	return fmt.Sprintf("seed %d: %s; %d entries, %d events, %d requests (%d unanswered, %d after SIGTERM), %d jobs accepted, %d refused, "+
		"%d runs, %d moves, %d upkeeps, %v", r.Seed, s, r.entries, r.events, r.requests, r.unanswered, r.late, r.accepted, r.refused,
		r.runs, r.moves, r.upkeeps, r.took.Round(100*time.Millisecond))
}

// Run runs the soak. An error means that it couldn't be set up.
func (k *Soak) Run() (Result, error) {
	k.begin, k.known = time.Now(), make(map[string]bool)
	k.site = site.New(k.Program, k.Dir, k.Out)
	k.site.SetOldEntry(k.OldProgram)
	if k.Restarts {
		k.site.AddHosts(_smallHostCPU, _morePools...)
	}
	defer k.site.Stop()
	if err := k.site.Start(); err != nil {
		return Result{}, fmt.Errorf("start site: %w", err)
	}
	if err := k.rotate(); err != nil {
		return Result{}, err
	}
	s, err := k.startEntries()
	if err != nil {
		return Result{}, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	k.submitting.Store(true)
	for i := range _callers {
		callers.Go(func() { k.newCaller(uint64(2 + i)).run(stop) })
	}
	callers.Go(func() { k.tryWithdrawnKeys(stop) })
	for i := range _cancellers {
		callers.Go(func() { k.cancelWorkingJobs(_cancelSeed+uint64(i), stop) })
	}
	k.injectAll(s)
	calm := time.Now()
	k.log("calm")
	time.Sleep(_drain)
	k.submitting.Store(false)
	k.settle(calm)
	k.stopEntries()
	close(stop)
	callers.Wait()
	k.checkJobs()
	return k.result(s), nil
}

// startEntries starts the entries and returns the schedule for them.
func (k *Soak) startEntries() (Schedule, error) {
	r := rand.New(rand.NewPCG(k.Seed, 0))
	n := _minEntries + r.IntN(_maxEntries-_minEntries+1)
	if r.IntN(_manyEvery) == 0 {
		n = _manyEntries
	}
	k.failShare = _failShare
	if r.IntN(_highFailEvery) == 0 {
		k.failShare = _highFailShare
	}
	if k.Entries > 0 {
		n = k.Entries
	}
	var names []string
	for i := range n {
		e := &entry{name: fmt.Sprintf("e%d", i+1), site: k.site}
		k.entries, names = append(k.entries, e), append(names, e.name)
		if k.OldProgram != "" {
			if err := e.execute("old"); err != nil {
				return nil, err
			}
		}
		if err := e.start(); err != nil {
			return nil, err
		}
	}
	o := Options{Splits: k.Splits, Upgrades: k.OldProgram != "", Restarts: k.Restarts, Stalls: k.Stalls}
	return NewSchedule(k.Seed, names, k.Faults, o), k.awaitReady()
}

func (k *Soak) awaitReady() error {
	for _, e := range k.entries {
		if err := k.site.AwaitReady(e.name); err != nil {
			return fmt.Errorf("start entries: %w", err)
		}
	}
	return nil
}

// entry returns an entry by its name, or nil.
func (k *Soak) entry(name string) *entry {
	i := slices.IndexFunc(k.entries, func(e *entry) bool { return e.name == name })
	if i < 0 {
		return nil
	}
	return k.entries[i]
}

// stopEntries terminates all entries at once.
func (k *Soak) stopEntries() {
	k.log("stop")
	var all sync.WaitGroup
	for _, e := range k.entries {
		all.Go(func() {
			if err := e.execute("term"); err != nil {
				k.violate("%v", err)
			}
			e.awaitExit()
		})
	}
	all.Wait()
}

// log writes a line with the present time to the output.
func (k *Soak) log(line string) {
	fmt.Fprintf(k.Out, "%s soak: %s\n", time.Now().Format("15:04:05.000"), line)
}

// violate records and logs a violation. One with the same text as another is dropped.
func (k *Soak) violate(format string, a ...any) {
	t := fmt.Sprintf(format, a...)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.known[t] {
		return
	}
	k.known[t] = true
	k.log("VIOLATION " + t)
	k.violations = append(k.violations, time.Now().Format("15:04:05.000 ")+t)
}

// newJob draws and records a job. Most jobs go to the same queue for some time.
func (k *Soak) newJob(r *rand.Rand, now time.Time, kind jobKind) (*job, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	id := fmt.Sprintf("%08x%08x", uint32(k.Seed), len(k.jobs)+1)
	q := _queues[int(now.Sub(k.begin)/_turn)%2]
	if r.IntN(5) == 0 {
		q = _queues[r.IntN(len(_queues))]
	}
	var j *job
	var err error
	switch {
	case kind == _longRunning:
		j, err = newLongRunningJob(r, k.site, id, q, k.OldProgram == "")
	case kind == _cancelledSoon:
		j, err = newCancelledJob(r, k.site, id, q)
	case k.Splits && now.Sub(k.begin) < k.length()*3/4 && r.IntN(_longEvery) == 0:
		j, err = newLongJob(r, k.site, id, q, _shortestLong, _longestLong)
	case k.Restarts && now.Sub(k.begin) < k.length()*3/4 && r.IntN(_longEvery) == 0:
		j, err = newLongJob(r, k.site, id, q, _shortestMid, _longestMid)
	default:
		j, err = newJob(r, k.site, id, q, now, k.failShare)
	}
	if err != nil {
		return nil, err
	}
	k.jobs = append(k.jobs, j)
	return j, nil
}

func (k *Soak) allJobs() []*job {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.jobs)
}

// pick returns one of the last jobs, or of all, or nil if there is none.
func (k *Soak) pick(r *rand.Rand) *job {
	l := k.allJobs()
	if r.IntN(4) > 0 {
		l = l[max(0, len(l)-_maxOpenJobs):]
	}
	if len(l) == 0 {
		return nil
	}
	return l[r.IntN(len(l))]
}

// frozen reports whether an entry was stopped by SIGSTOP within _contact.
func (k *Soak) frozen(now time.Time) bool {
	return slices.ContainsFunc(k.entries, func(e *entry) bool { return e.frozen(now.Add(-_contact), now) })
}

func (k *Soak) openJobs() int {
	n := 0
	for _, j := range k.allJobs() {
		if !j.longRunning && j.open() {
			n++
		}
	}
	return n
}

func (k *Soak) openLongRunning() int {
	n := 0
	for _, j := range k.allJobs() {
		if j.longRunning && j.open() {
			n++
		}
	}
	return n
}

func (k *Soak) result(s Schedule) Result {
	v := Result{
		Seed: k.Seed, Schedule: s, entries: len(k.entries), requests: k.requests.Load(), unanswered: k.unanswered.Load(), late: k.late.Load(),
		took: time.Since(k.begin),
	}
	for _, l := range s {
		v.events += len(l)
	}
	for _, j := range k.jobs {
		switch {
		case j.refused():
			v.refused++
		case !j.accepted.IsZero():
			v.accepted++
		}
	}
	v.runs, v.moves, v.upkeeps = k.site.Counts()
	for _, e := range k.entries {
		for _, t := range e.failures {
			k.violate("%s", t)
		}
	}
	for _, t := range k.site.Violations() {
		k.violate("%s", t)
	}
	v.Violations = k.violations
	return v
}
