package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var errNotAccepted = errors.New("a job wasn't accepted")

// launch starts services of some machines each, and three entries.
func (s *site) launch(machines int, services []string, routes ...route) error {
	for _, p := range services {
		if err := s.addMachines(p, machines); err != nil {
			return err
		}
	}
	s.publish(services, routes...)
	for _, n := range []string{"front-1", "front-2", "front-3"} {
		if err := s.startEntry(n); err != nil {
			return err
		}
	}
	time.Sleep(5 * time.Second)
	return nil
}

// moved has a version of the configuration send a route to another service, and repeats the
// submission of a job that was accepted before.
func moved(s *site) error {
	services := []string{"deposits", "returns"}
	r := route{name: "r-release", prefix: "/release/", service: "deposits", attempts: 3, timeoutMs: 3000}
	if err := s.launch(4, services, r); err != nil {
		return err
	}
	id := newID()
	b := behaviour{takes: 12 * time.Second, cpu: 1000}
	st := step{"count": 2, "cpu": b.cpu, "memMb": 512, "estimateMs": 12000}
	if !s.submit("front-1", r.prefix, id, b, st) {
		return errNotAccepted
	}
	time.Sleep(time.Second)
	if s.trouble {
		if os.Getenv("VARIANT") == "two" {
			// One version removes the route, and the next adds it again.
			s.publish(services)
			time.Sleep(2500 * time.Millisecond)
		}
		r.service = "returns"
		s.publish(services, r)
	}
	time.Sleep(4 * time.Second)
	// The submission arrives once more, seconds after its 2xx.
	s.call("front-2", http.MethodPost, r.prefix+id, map[string]any{"spec": "x", "phases": []step{st}})
	time.Sleep(4 * time.Second)
	s.call("front-3", http.MethodGet, r.prefix+id, nil)
	time.Sleep(8 * time.Second)
	s.call("front-3", http.MethodGet, r.prefix+id, nil)
	return nil
}

// crashes has the executor crash on which a work item runs, twice, soon after the work item began:
// first for a job that lasts, then for one that ends.
func crashes(s *site) error {
	services := []string{"fitting"}
	r := route{name: "r-ledger", prefix: "/ledger/", service: "fitting", attempts: 2, timeoutMs: 3000}
	if err := s.launch(9, services, r); err != nil {
		return err
	}
	lasting, single := newID(), newID()
	lb := behaviour{lasts: true, cpu: 1000}
	if !s.submit("front-1", r.prefix, lasting, lb, step{"count": 1, "cpu": lb.cpu, "memMb": 512, "estimateMs": 1000, "longRunning": true}) {
		return errNotAccepted
	}
	s.crashTwice(lasting + ".0.0.0")
	time.Sleep(8 * time.Second)
	sb := behaviour{takes: 2500 * time.Millisecond, cpu: 1000}
	if !s.submit("front-2", r.prefix, single, sb, step{"count": 1, "cpu": sb.cpu, "memMb": 512, "estimateMs": 2500}) {
		return errNotAccepted
	}
	s.crashTwice(single + ".0.0.0")
	time.Sleep(25 * time.Second)
	c, t := s.call("front-3", http.MethodGet, r.prefix+single, nil)
	if x := s.judge.get(single + ".0.0.0"); c == http.StatusOK && strings.Contains(t, `"failed"`) && x.failed == 0 {
		s.judge.breakRule("LOST: job %s is shown as failed, and no run of its work item has ended failed (%d runs)", single, x.runs)
	}
	s.call("front-3", http.MethodGet, r.prefix+lasting, nil)
	if x := s.judge.get(lasting + ".0.0.0"); len(x.running) == 0 && time.Since(x.lastAt) > 6*time.Second+_idle {
		s.judge.breakRule("LOST: work item %s that lasts hasn't run for %.0f s, and all executors have been up and idle for over 20 s", lasting+".0.0.0", time.Since(x.lastAt).Seconds())
	}
	return nil
}

// crashTwice has the executor crash on which a work item runs, twice. It is back after 0.8 s, so that
// one executor is down at a time.
func (s *site) crashTwice(task string) {
	for n := range 2 {
		m, ok := s.runsOn(task, 8*time.Second)
		if !ok {
			s.rec.printf("%s doesn't run; crash %d isn't made", task, n+1)
			return
		}
		time.Sleep(900 * time.Millisecond)
		if !s.trouble {
			continue
		}
		m.crash("crash")
		time.Sleep(800 * time.Millisecond)
		if m.boot("") == nil {
			m.report()
		}
	}
}

// runsOn waits until a work item runs, and returns its machine.
func (s *site) runsOn(task string, limit time.Duration) (*machine, bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, m := range s.machines {
			m.mu.Lock()
			ok := m.up && m.runs[task] != nil && !m.runs[task].stopping
			m.mu.Unlock()
			if ok {
				return m, true
			}
		}
	}
	return nil, false
}

// advised removes the route of a job that needs tickets, and then restarts the daemons one after the
// other, as in a roll-out.
func advised(s *site) error {
	services := []string{"fitting"}
	keep := route{name: "r-check", prefix: "/check/", service: "fitting", attempts: 3, timeoutMs: 3000}
	r := route{name: "r-outfit", prefix: "/outfit/", service: "fitting", attempts: 3, timeoutMs: 3000, advised: true}
	if err := s.launch(4, services, keep, r); err != nil {
		return err
	}
	id := newID()
	b := behaviour{takes: 9 * time.Second, cpu: 1000, advised: true}
	st := step{"count": 2, "cpu": b.cpu, "memMb": 512, "estimateMs": 9000}
	then := step{"count": 2, "cpu": b.cpu, "memMb": 512, "estimateMs": 9000, "after": []int{0}}
	if !s.submit("front-1", r.prefix, id, b, st, then) {
		return errNotAccepted
	}
	time.Sleep(time.Second)
	if err := s.removeAndRoll(services, keep); err != nil {
		return err
	}
	s.awaitStep(id+".0.0", 2, 20*time.Second)
	return s.lostUnlessDone(id, id+".0.1", 2)
}

// removeAndRoll publishes a configuration with only the routes to be kept, and stops and starts the
// daemons in turn.
func (s *site) removeAndRoll(services []string, keep ...route) error {
	if !s.trouble {
		return nil
	}
	v := os.Getenv("VARIANT")
	if v != "roll" {
		s.publish(services, keep...)
		time.Sleep(3 * time.Second)
	}
	if v == "remove" {
		return nil
	}
	for _, n := range []string{"front-1", "front-2", "front-3"} {
		if err := s.restart(n, syscall.SIGTERM); err != nil {
			return err
		}
	}
	return nil
}

// awaitStep waits until so many work items of a step are done, and their ends were taken note of.
func (s *site) awaitStep(name string, count int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for i := range count {
			if s.judge.get(fmt.Sprintf("%s.%d", name, i)).done {
				n++
			}
		}
		if n == count {
			return true
		}
	}
	return false
}

const (
	_finish = 14 * time.Second
	_idle   = 3 * time.Second
	// _watch is how long a job is watched after _finish.
	_watch = 25 * time.Second
)

// lostUnlessDone judges LOST by a step of a job whose turn has come, _finish after the end of the
// traffic: the job has nothing running for _idle, while its service is empty but for it.
func (s *site) lostUnlessDone(id, name string, count int) error {
	s.rec.printf("the traffic has ended; the turn of %s has come", name)
	time.Sleep(_finish)
	var idle time.Duration
	const tick = 50 * time.Millisecond
	for end := time.Now().Add(_watch); time.Now().Before(end); time.Sleep(tick) {
		left, running := 0, 0
		for i := range count {
			x := s.judge.get(fmt.Sprintf("%s.%d", name, i))
			if len(x.running) > 0 {
				running++
			}
			if !x.ended {
				left++
			}
		}
		if left == 0 {
			return nil
		}
		if running > 0 {
			idle = 0
			continue
		}
		if idle += tick; idle > _idle {
			s.judge.breakRule("LOST: job %s was accepted and nothing of it runs for %v, %v after the end of the traffic; %d of %d work items of step %s aren't done, and all executors are up and idle",
				id, _idle, _finish, left, count, name)
			return nil
		}
	}
	return nil
}

// policy has more executors in a service than one call for advice may name, of which the queue's
// policy allows a few.
func policy(s *site) error {
	services := []string{"fitting"}
	r := route{name: "r-outfit", prefix: "/outfit/", service: "fitting", attempts: 3, timeoutMs: 3000, advised: true}
	if err := s.launch(120, services, r); err != nil {
		return err
	}
	var ids []string
	for _, m := range s.machines {
		ids = append(ids, m.id)
	}
	slices.Sort(ids)
	allowed := ids[:6]
	if s.trouble {
		allowed = ids[len(ids)-6:]
	}
	s.mu.Lock()
	s.allowed = allowed
	s.mu.Unlock()
	s.rec.printf("the policy allows the executors %v", allowed)
	id := newID()
	b := behaviour{takes: 2 * time.Second, cpu: 1000, advised: true}
	if !s.submit("front-1", r.prefix, id, b, step{"count": 2, "cpu": b.cpu, "memMb": 512, "estimateMs": 2000}) {
		return errNotAccepted
	}
	time.Sleep(time.Second)
	s.call("front-2", http.MethodGet, r.prefix+id, nil)
	if err := s.lostUnlessDone(id, id+".0.0", 2); err != nil {
		return err
	}
	s.call("front-3", http.MethodGet, r.prefix+id, nil)
	return nil
}

// patience has a policy that decides in the time that its route's configuration names.
func patience(s *site) error {
	services := []string{"fitting"}
	s.decide, s.each = 100*time.Millisecond, time.Millisecond
	if s.trouble {
		s.each = 15 * time.Millisecond
	}
	r := route{name: "r-outfit", prefix: "/outfit/", service: "fitting", attempts: 3, timeoutMs: 3000, advised: true}
	if err := s.launch(120, services, r); err != nil {
		return err
	}
	id := newID()
	b := behaviour{takes: 2 * time.Second, cpu: 1000, advised: true}
	if !s.submit("front-1", r.prefix, id, b, step{"count": 2, "cpu": b.cpu, "memMb": 512, "estimateMs": 2000}) {
		return errNotAccepted
	}
	time.Sleep(time.Second)
	s.call("front-2", http.MethodGet, r.prefix+id, nil)
	if err := s.lostUnlessDone(id, id+".0.0", 2); err != nil {
		return err
	}
	s.call("front-3", http.MethodGet, r.prefix+id, nil)
	return nil
}

// long has a job whose work items take five minutes each, and small jobs beside it.
func long(s *site) error {
	services := []string{"returns"}
	r := route{name: "r-recon", prefix: "/recon/", service: "returns", attempts: 3, timeoutMs: 3000}
	if err := s.launch(9, services, r); err != nil {
		return err
	}
	id := newID()
	b := behaviour{takes: 30 * time.Second, cpu: 4000}
	if s.trouble {
		b.takes = 300 * time.Second
	}
	const items = 9
	st := step{"count": items, "cpu": b.cpu, "memMb": 512, "estimateMs": b.takes.Milliseconds(), "antiAffinity": 1}
	if !s.submit("front-1", r.prefix, id, b, st) {
		return errNotAccepted
	}
	small := behaviour{takes: time.Second, cpu: 500}
	for range 8 {
		time.Sleep(time.Second)
		k := newID()
		s.judge.expect(k, small)
		s.call("front-2", http.MethodPost, r.prefix+k, map[string]any{"spec": "x", "phases": []step{{"count": 2, "cpu": small.cpu, "memMb": 256, "estimateMs": 1000}}})
	}
	if err := s.lostUnlessDone(id, id+".0.0", items); err != nil {
		return err
	}
	runs := 0
	for i := range items {
		runs += s.judge.get(fmt.Sprintf("%s.0.0.%d", id, i)).runs
	}
	s.rec.printf("%d runs of the %d work items of job %s", runs, items, id)
	time.Sleep(time.Second)
	s.call("front-3", http.MethodGet, r.prefix+id, nil)
	return nil
}

// _askFor is how long consumers ask for their jobs.
const _askFor = 15 * time.Second

// memory has eight scheduled jobs, and ends a process that exceeds its memory, as the platform does.
func memory(s *site) error {
	services := []string{"returns"}
	r := route{name: "r-recon", prefix: "/recon/", service: "returns", attempts: 3, timeoutMs: 3000}
	if err := s.launch(9, services, r); err != nil {
		return err
	}
	go s.watchMemory()
	times := 1500
	if !s.trouble {
		times = 50
	}
	const items, jobs = 100, 8
	b := behaviour{takes: 2 * time.Second, cpu: 100}
	var ids []string
	for range jobs {
		id := newID()
		s.judge.expect(id, b)
		body := map[string]any{
			"spec": "x", "phases": []step{{"count": items, "cpu": b.cpu, "memMb": 64, "estimateMs": 2000}},
			"repeatCount": times, "intervalMs": 60_000, "firstRunMs": time.Now().UnixMilli() - int64(times)*60_000,
		}
		if c, _ := s.call("front-1", http.MethodPost, r.prefix+id, body); c == http.StatusOK {
			ids = append(ids, id)
		}
		time.Sleep(time.Second)
	}
	s.rec.printf("%d of %d jobs are accepted; the traffic has ended", len(ids), jobs)
	time.Sleep(_finish)
	// Each job is asked for, at the daemons in turn.
	var known atomic.Int64
	var asked sync.WaitGroup
	end := time.Now().Add(_askFor)
	for k, id := range ids {
		asked.Go(func() {
			for n := k; time.Now().Before(end); n++ {
				if c, _ := s.call(fmt.Sprintf("front-%d", n%3+1), http.MethodGet, r.prefix+id, nil); c == http.StatusOK {
					known.Add(1)
					return
				}
				time.Sleep(time.Second)
			}
		})
	}
	asked.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	often := 0
	for n, k := range s.overMemory {
		s.rec.printf("daemon %s exceeded its memory %d times", n, k)
		if k >= 3 {
			often++
		}
	}
	if n := len(ids) - int(known.Load()); n > 0 {
		s.judge.breakRule("LOST: of %d accepted jobs %d get no answer for %v, %v after the end of the traffic", len(ids), n, _askFor, _finish)
	}
	if often >= 2 {
		s.judge.breakRule("Fault: %d of 3 daemons ended three times or more as they exceeded their memory, with no impairment", often)
	}
	return nil
}

// attempts removes the route of a job of which a work item fails, and then restarts the daemons one
// after the other.
func attempts(s *site) error {
	services := []string{"fitting"}
	keep := route{name: "r-check", prefix: "/check/", service: "fitting", attempts: 3, timeoutMs: 3000}
	r := route{name: "r-outfit", prefix: "/outfit/", service: "fitting", attempts: 2, timeoutMs: 3000}
	if err := s.launch(4, services, keep, r); err != nil {
		return err
	}
	id := newID()
	b := behaviour{takes: 9 * time.Second, cpu: 1000}
	s.judge.expect(id+".0.1", behaviour{takes: 800 * time.Millisecond, cpu: b.cpu, fails: true})
	st := step{"count": 1, "cpu": b.cpu, "memMb": 512, "estimateMs": 9000}
	then := step{"count": 1, "cpu": b.cpu, "memMb": 512, "estimateMs": 800, "after": []int{0}}
	if !s.submit("front-1", r.prefix, id, b, st, then) {
		return errNotAccepted
	}
	time.Sleep(time.Second)
	if err := s.removeAndRoll(services, keep); err != nil {
		return err
	}
	s.awaitStep(id+".0.0", 1, 20*time.Second)
	time.Sleep(_finish)
	x := s.judge.get(id + ".0.1.0")
	s.rec.printf("%s: %d runs, %d ended failed, %d of these ends were taken note of", id+".0.1.0", x.runs, x.failed, x.failedAcked)
	late := 0
	for n, starts := range x.startsAfterFailed {
		if n >= r.attempts && x.failedAcked >= r.attempts {
			late += starts
		}
	}
	if late > 0 {
		s.judge.breakRule("BUDGET: %s has begun %d times after %d runs had ended failed, of which ends were taken note", id+".0.1.0", late, r.attempts)
	}
	return nil
}

// pending moves a route whose jobs wait to another service.
func pending(s *site) error {
	services := []string{"deposits", "returns"}
	r := route{name: "r-release", prefix: "/release/", service: "deposits", attempts: 3, timeoutMs: 3000}
	if err := s.launch(2, services, r); err != nil {
		return err
	}
	// The pool is full with jobs that last; four more wait.
	b := behaviour{lasts: true, cpu: 15000}
	for range 6 {
		if !s.submit("front-1", r.prefix, newID(), b, step{"count": 1, "cpu": b.cpu, "memMb": 512, "estimateMs": 1000, "longRunning": true}) {
			return errNotAccepted
		}
	}
	time.Sleep(6 * time.Second)
	s.call("front-2", http.MethodGet, r.prefix, nil)
	if s.trouble {
		r.service = "returns"
		s.publish(services, r)
	}
	time.Sleep(8 * time.Second)
	waiting := 0
	for _, x := range s.judge.all() {
		if x.runs == 0 {
			waiting++
		}
	}
	for _, n := range []string{"front-1", "front-2", "front-3"} {
		c, t := s.call(n, http.MethodGet, r.prefix, nil)
		var v struct {
			Pending int `json:"pending"`
		}
		if c == http.StatusOK && json.Unmarshal([]byte(t), &v) == nil && 2*v.Pending < waiting {
			s.judge.breakRule("MIXED: %s gives %d as pending, and %d jobs that were accepted 14 s before haven't begun", n, v.Pending, waiting)
		}
	}
	return nil
}
