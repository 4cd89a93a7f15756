package soak

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"fescuelanding/standin/site"
)

// _grace is the time between SIGTERM and SIGKILL.
const _grace = 6 * time.Second

// _contact is how long a process must have run without interruption until the rules for
// entries in touch hold.
const _contact = 3 * time.Second

// _handlerTime is how long a process may take until it handles signals. SIGHUP ends a
// process that doesn't handle it yet.
const _handlerTime = 500 * time.Millisecond

// entry is an entry with what was done to its processes.
type entry struct {
	name string
	site *site.Site

	mu      sync.Mutex
	current *process
	// interruptions holds the intervals in which a process was stopped by SIGSTOP, and those
	// from the kill of one to its exit. The last one has no end while the process is stopped.
	interruptions []interval
	// cuts holds the intervals in which the path to the store was cut, like interruptions.
	cuts []interval
	// exits are the times at which processes have exited.
	exits    []time.Time
	failures []string
}

// interval is a time interval. It hasn't ended if its end is zero.
type interval struct {
	begin, end time.Time
	// kill is set for an interval in which a process was killed.
	kill bool
}

func (i interval) overlaps(begin, end time.Time) bool {
	return !i.begin.After(end) && (i.end.IsZero() || !i.end.Before(begin))
}

// process is what was done to a process. Entry's lock protects it.
type process struct {
	started    time.Time
	terminated time.Time
	killed     bool
	exited     <-chan struct{}
}

// execute executes a command of the schedule, with the words that follow the entry's name.
func (e *entry) execute(verb string, words ...string) error {
	switch verb {
	case "start":
		return e.start()
	case "kill":
		e.kill()
	case "term":
		e.mu.Lock()
		if e.current.terminated.IsZero() {
			e.current.terminated = time.Now()
		}
		e.mu.Unlock()
		return e.signal(syscall.SIGTERM)
	case "freeze":
		e.mu.Lock()
		e.interruptions = append(e.interruptions, interval{begin: time.Now()})
		e.mu.Unlock()
		return e.signal(syscall.SIGSTOP)
	case "thaw":
		err := e.signal(syscall.SIGCONT)
		e.endFreeze()
		return err
	case "cut", "mend":
		if len(words) == 0 || words[0] == "store" {
			e.noteCut(verb == "cut")
		}
		fallthrough
	case "old", "new":
		if _, err := e.site.Do(strings.Join(append([]string{verb, e.name}, words...), " ")); err != nil {
			return fmt.Errorf("%s: %w", verb, err)
		}
	case "hup":
		e.mu.Lock()
		left := time.Until(e.current.started.Add(_handlerTime))
		e.mu.Unlock()
		time.Sleep(left)
		return e.signal(syscall.SIGHUP)
	}
	return nil
}

// noteCut notes that the path to the store is cut, or isn't any longer.
func (e *entry) noteCut(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := len(e.cuts)
	isCut := n > 0 && e.cuts[n-1].end.IsZero()
	switch {
	case cut && !isCut:
		e.cuts = append(e.cuts, interval{begin: time.Now()})
	case !cut && isCut:
		e.cuts[n-1].end = time.Now()
	}
}

// cutWithin reports whether the path to the store was cut at some time of an interval.
func (e *entry) cutWithin(begin, end time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.cuts, func(i interval) bool { return i.overlaps(begin, end) })
}

// signal sends a signal to the current process, which may have exited.
func (e *entry) signal(s syscall.Signal) error {
	if err := e.site.Signal(e.name, s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("send signal: %w", err)
	}
	return nil
}

// endFreeze ends the last interval in which the process was stopped, if it hasn't ended.
func (e *entry) endFreeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if n := len(e.interruptions); n > 0 && e.interruptions[n-1].end.IsZero() {
		e.interruptions[n-1].end = time.Now()
	}
}

// kill kills the current process.
func (e *entry) kill() {
	e.endFreeze()
	e.mu.Lock()
	e.current.killed = true
	e.interruptions = append(e.interruptions, interval{begin: time.Now(), kill: true})
	i := len(e.interruptions) - 1
	e.mu.Unlock()
	e.site.Kill(e.name)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.interruptions[i].end = time.Now()
}

// start starts the next process, after the current one has exited.
func (e *entry) start() error {
	e.endFreeze()
	if e.current != nil {
		e.awaitExit()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.site.LaunchEntry(e.name); err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	e.current = &process{started: time.Now(), exited: e.site.Exited(e.name)}
	go e.watch(e.current)
	return nil
}

// awaitExit waits until the current process has exited. It is killed once the grace period
// is over, and at once if it wasn't sent SIGTERM. Requests that this kill interrupts should
// have been answered before, unless the process was stopped meanwhile.
func (e *entry) awaitExit() {
	e.mu.Lock()
	p := e.current
	left := time.Until(p.terminated.Add(_grace))
	e.mu.Unlock()
	if exitsWithin(p.exited, left) {
		return
	}
	if e.interrupted(p.terminated, time.Now()) {
		e.kill()
		return
	}
	e.mu.Lock()
	p.killed = true
	e.failures = append(e.failures, e.name+" didn't exit within the grace period")
	e.mu.Unlock()
	e.site.Kill(e.name)
}

// exitsWithin waits for an exit and reports whether it happened within d.
func exitsWithin(exited <-chan struct{}, d time.Duration) bool {
	select {
	case <-exited:
		return true
	default:
	}
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

// watch records the exit of a process, and a failure if nothing asked for it.
func (e *entry) watch(p *process) {
	<-p.exited
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exits = append(e.exits, time.Now())
	if p.terminated.IsZero() && !p.killed {
		e.failures = append(e.failures, e.name+" exited by itself")
	}
}

// interrupted reports whether a process was killed or stopped in an interval.
func (e *entry) interrupted(begin, end time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.interruptions, func(i interval) bool { return i.overlaps(begin, end) })
}

// frozen reports whether a process was stopped in an interval.
func (e *entry) frozen(begin, end time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.interruptions, func(i interval) bool { return !i.kill && i.overlaps(begin, end) })
}

// inTouch reports whether the current process has run for _contact without a signal that
// interrupts it, and with the store's answers. Some rules hold only then.
func (e *entry) inTouch(now time.Time) bool {
	e.mu.Lock()
	undisturbed := e.current.terminated.IsZero() && now.Sub(e.current.started) >= _contact &&
		!slices.ContainsFunc(e.cuts, func(i interval) bool { return i.overlaps(now.Add(-_contact), now) })
	e.mu.Unlock()
	return undisturbed && !e.interrupted(now.Add(-_contact), now)
}

// terminatedSince reports whether the current process ran at a time and got SIGTERM later.
func (e *entry) terminatedSince(at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return at.After(e.current.started) && e.current.terminated.After(at)
}

// exitedWithin reports whether a process exited in an interval.
func (e *entry) exitedWithin(begin, end time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.exits, func(t time.Time) bool { return !t.Before(begin) && !t.After(end) })
}
