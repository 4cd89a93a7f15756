package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	service = "huvo11a"
	prefix  = "/puxa400/"
	other   = "/tije37/"
)

func id(class, n int) string { return fmt.Sprintf("%08x%08x", 0x5c0e7a21+class, n) }

func phases(p ...map[string]any) map[string]any {
	return map[string]any{"spec": "(text)", "phases": p}
}

// shortJob submits a job of four work items of 200 ms.
func (w *world) shortJob(n int, prefix, id string, retries int) *job {
	k := work{ms: 200, cpu: 500}
	b := phases(map[string]any{"count": 4, "cpu": 500, "memMb": 256, "estimateMs": 200})
	return w.submit(n, prefix, id, k, 4, b, retries)
}

// backlog hands in one scheduled job, which runs each minute and whose first times have passed. The
// record of its progress grows with each time that is due.
func backlog(w *world) {
	for i := range 6 {
		w.newExecutor(fmt.Sprintf("i-%08x", 0x7f3a0000+i), fmt.Sprintf("m-%d", i+1), service, "a", fmt.Sprintf("r1-%d", 1+i/4)).boot()
	}
	w.configure([]route{{"r-1", prefix, service, 3}}, service)
	w.startEntries(3)
	time.Sleep(3 * time.Second)

	end := w.traffic(prefix)
	time.Sleep(6 * time.Second)
	times := 300 // 5 hours; the record stays below recordBytes
	if trouble() {
		times = 1500 // 25 hours
	}
	w.schedule(prefix, id(3, 0), times)
	time.Sleep(30 * time.Second)
	end()
	w.record("end of the traffic")
	quiet := time.Now()
	time.Sleep(finish)
	w.verdict(w.checkFinish(quiet))
}

// traffic hands in ordinary jobs until the returned function is called. A fourth of them last for 20 s
// and are cancelled a second after they were accepted.
func (w *world) traffic(prefix string) (end func()) {
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Go(func() {
		t := time.NewTicker(500 * time.Millisecond)
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-t.C:
			}
			wg.Go(func() {
				if n%4 != 3 {
					w.shortJob(n, prefix, id(1, n), 2)
					return
				}
				b := phases(map[string]any{"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 20000})
				j := w.submit(n, prefix, id(2, n), work{ms: 20000, cpu: 500}, 1, b, 2)
				if j.code == 200 {
					time.Sleep(time.Second)
					w.cancel(n, j)
				}
			})
		}
	})
	return func() { close(stop); wg.Wait() }
}

// schedule hands in a job of 100 steps that runs each minute. All its times have passed.
func (w *world) schedule(prefix, id string, times int) {
	const steps = 100
	w.quiet[id] = true
	w.record("client: hands in the scheduled job %s%s: %d steps, %d times, one a minute, the last of them due now", prefix, id, steps, times)
	var p []map[string]any
	for i := range steps {
		s := map[string]any{"count": 1, "cpu": 10, "memMb": 4, "estimateMs": 50}
		if i > 0 {
			s["after"] = []int{i - 1}
		}
		p = append(p, s)
	}
	b := phases(p...)
	b["repeatCount"], b["intervalMs"], b["firstRunMs"] = times, 60000, time.Now().UnixMilli()-int64(times)*60000
	w.submit(0, prefix, id, work{ms: 50, cpu: 10}, steps*times, b, 4)
}

// checkFinish checks LOST and Acks after the traffic, which ended finish ago.
func (w *world) checkFinish(quiet time.Time) []string {
	var broken []string
	states := map[string]string{}
	for n, i := range w.order {
		j := w.jobs[i]
		if j.acceptedAt.IsZero() {
			continue
		}
		if code, s := w.state(n, j); code == 200 {
			states[i] = s
		} else if j.cancelAt.IsZero() {
			broken = append(broken, fmt.Sprintf("LOST: the state of the accepted job %s isn't known: %d", i, code))
		}
	}
	time.Sleep(3 * time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	done, lastRun, ends, noted := map[string]int{}, map[string]time.Time{}, 0, 0
	for _, e := range w.ends {
		lastRun[jobOf(e.task)] = e.at
		if e.how == "done" {
			done[jobOf(e.task)]++
		}
		if e.at.Before(quiet.Add(finish - ackTime)) {
			ends++
			if e.ackd {
				noted++
			}
		}
	}
	capacity, used, running := int64(0), int64(0), map[string]int{}
	for _, x := range w.executors {
		x.mu.Lock()
		capacity += x.cpu
		used += x.used()
		for _, r := range x.runs {
			running[jobOf(r.task)]++
		}
		x.mu.Unlock()
	}
	accepted, refused, shown, cancels, unanswered := 0, 0, 0, 0, 0
	for _, i := range w.order {
		j := w.jobs[i]
		if j.acceptedAt.IsZero() {
			refused++
			continue
		}
		accepted++
		if states[i] == "completed" {
			shown++
		}
		if !j.cancelAt.IsZero() {
			cancels++
			if j.cancelled.IsZero() || j.cancelled.Sub(j.cancelAt) > ackTime {
				unanswered++
			}
			continue
		}
		if done[i] < j.items && running[i] == 0 && time.Since(lastRun[i]) > 3*time.Second && used*2 < capacity {
			broken = append(broken, fmt.Sprintf("LOST: job %s: %d of %d work items are done, nothing of it runs for %.1f s, %d of %d cores are in use",
				i, done[i], j.items, time.Since(lastRun[i]).Seconds(), used/1000, capacity/1000))
		}
	}
	w.line("jobs: %d accepted, %d never accepted, %d shown as completed; cancels: %d, %d without an answer after %d ms; ends listed before the last %d s: %d, %d of them taken note of",
		accepted, refused, shown, cancels, unanswered, ackTime.Milliseconds(), ackTime/time.Second, ends, noted)
	w.line("appends refused by the store: %v", w.store.refused)
	if cancels >= 3 && unanswered*10 > cancels {
		broken = append(broken, fmt.Sprintf("Acks: %d of %d cancels have no 2xx or 410 after %d ms", unanswered, cancels, ackTime.Milliseconds()))
	}
	if (ends-noted)*5 > ends {
		broken = append(broken, fmt.Sprintf("Acks: %d of %d ends aren't taken note of after %d ms", ends-noted, ends, ackTime.Milliseconds()))
	}
	return broken
}

// removed removes the route of a job whose work item fails in each run, and then stops and starts the
// entries in turn.
func removed(w *world) {
	const attempts = 2
	for i := range 6 {
		w.newExecutor(fmt.Sprintf("i-%08x", 0x7f3a0000+i), fmt.Sprintf("m-%d", i+1), service, "a", fmt.Sprintf("r1-%d", 1+i/4)).boot()
	}
	routes := []route{{"r-1", prefix, service, 3}, {"r-2", other, service, attempts}}
	w.configure(routes, service)
	w.startEntries(3)
	time.Sleep(3 * time.Second)
	for n := range 4 {
		w.shortJob(n, prefix, id(1, n), 2)
	}
	hopeless := id(4, 0)
	b := phases(map[string]any{"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 12000})
	w.submit(0, other, hopeless, work{ms: 12000, fails: true, cpu: 500}, 1, b, 2)
	time.Sleep(time.Second)
	if os.Getenv("ROUTE") != "kept" {
		w.configure(routes[:1], service)
	}
	time.Sleep(3 * time.Second)
	if trouble() {
		for _, e := range w.entries {
			e.stop()
			e.start()
			e.awaitReady()
			time.Sleep(time.Second)
		}
	}
	for n := range 4 {
		w.shortJob(n, prefix, id(5, n), 2)
	}
	time.Sleep(35 * time.Second)
	w.mu.Lock()
	var broken []string
	for _, s := range w.starts {
		if jobOf(s.task) != hopeless {
			continue
		}
		failed := 0
		for _, e := range w.ends {
			if e.task == s.task && e.how == "failed" && e.ackd && e.at.Before(s.at) {
				failed++
			}
		}
		if failed >= attempts {
			broken = append(broken, fmt.Sprintf("BUDGET: %s run %d starts after %d runs have ended failed and were taken note of; maxAttempts is %d", s.task, s.run, failed, attempts))
		}
	}
	w.mu.Unlock()
	w.verdict(broken)
}

// flaps has two executors crash twice soon after each has started a work item: one that lasts, and one
// that takes 8 s. Each is the only executor with the label that its work item requires.
func flaps(w *world) {
	for i := range 15 {
		kind := "a"
		if i < 2 {
			kind = []string{"b", "c"}[i]
		}
		w.newExecutor(fmt.Sprintf("i-%08x", 0x7f3a0000+i), fmt.Sprintf("m-%d", i+1), service, kind, fmt.Sprintf("r1-%d", 1+i/4)).boot()
	}
	w.configure([]route{{"r-1", prefix, service, 3}}, service)
	w.startEntries(3)
	time.Sleep(3 * time.Second)
	step := func(requires string, ms int64) map[string]any {
		return map[string]any{"count": 1, "cpu": 1000, "memMb": 1024, "estimateMs": ms, "longRunning": ms == 0, "requires": requires}
	}
	lasting, long := id(6, 0), id(6, 1)
	w.submit(0, prefix, lasting, work{lasts: true, cpu: 1000}, 1, phases(step("b", 0)), 2)
	w.submit(0, prefix, long, work{ms: 8000, cpu: 1000}, 1, phases(step("c", 8000)), 2)
	for n := range 4 {
		w.shortJob(n, prefix, id(1, n), 2)
	}
	if trouble() {
		for range 2 {
			w.awaitRun(lasting, 12*time.Second)
			w.awaitRun(long, 12*time.Second)
			time.Sleep(700 * time.Millisecond)
			w.executors[0].crash()
			w.executors[1].crash()
			time.Sleep(1500 * time.Millisecond)
			w.executors[0].boot()
			w.executors[1].boot()
		}
	}
	calm := time.Now()
	w.record("the last disruption has ended")
	x := w.executors[0]
	var idle time.Time // since when the work item that lasts doesn't run
	worst := time.Duration(0)
	for time.Since(calm) < 40*time.Second {
		time.Sleep(50 * time.Millisecond)
		x.mu.Lock()
		n := len(x.runs)
		x.mu.Unlock()
		if n > 0 || time.Since(calm) < 7*time.Second {
			idle = time.Now()
		}
		worst = max(worst, time.Since(idle))
	}
	var broken []string
	code, s := w.state(0, w.jobs[lasting])
	if worst > 3*time.Second {
		broken = append(broken, fmt.Sprintf("LOST: the work item %s.0.0.0 lasts, and doesn't run for %.1f s from 7 s after the last disruption on, with an idle executor that has its label; its job is shown as: %d %s", lasting, worst.Seconds(), code, s))
	}
	if _, s := w.state(0, w.jobs[long]); s == "failed" {
		w.mu.Lock()
		failed := 0
		for _, e := range w.ends {
			if jobOf(e.task) == long && e.how == "failed" {
				failed++
			}
		}
		w.mu.Unlock()
		if failed < 3 {
			broken = append(broken, fmt.Sprintf("LOST: the job %s is shown as failed; %d of its runs have ended failed, and maxAttempts is 3", long, failed))
		}
	}
	w.verdict(broken)
}

// vacated has a wave vacate a machine, on which a work item of 60 s runs on. Then another machine is lost
// for good, one work item of a step that is spread over the machines with it.
func vacated(w *world) {
	for i := range 9 {
		w.newExecutor(fmt.Sprintf("i-%08x", 0x7f3a0000+i), fmt.Sprintf("m-%d", i+1), service, "a", fmt.Sprintf("r1-%d", 1+i/4)).boot()
	}
	w.configure([]route{{"r-1", prefix, service, 3}}, service)
	w.startEntries(3)
	time.Sleep(3 * time.Second)
	spread, long := id(9, 0), id(9, 1)
	b := phases(map[string]any{"count": 8, "cpu": 4000, "memMb": 1024, "estimateMs": 1000, "longRunning": true, "antiAffinity": 1, "mayMiss": 1})
	w.submit(0, prefix, spread, work{lasts: true, cpu: 4000}, 8, b, 2)
	b = phases(map[string]any{"count": 1, "cpu": 1000, "memMb": 1024, "estimateMs": 60000})
	w.submit(1, prefix, long, work{ms: 60000, cpu: 1000}, 1, b, 2)
	time.Sleep(3 * time.Second)
	var due, lost *executor
	for _, x := range w.executors {
		x.mu.Lock()
		for _, r := range x.runs {
			if jobOf(r.task) == long {
				due = x
			}
		}
		x.mu.Unlock()
	}
	if due == nil {
		w.fatal("the work item of 60 s doesn't run")
	}
	w.declareWave(90*time.Second, due.machine)
	time.Sleep(6 * time.Second)
	for _, x := range w.executors {
		x.mu.Lock()
		if x != due && len(x.runs) > 0 {
			lost = x
		}
		x.mu.Unlock()
	}
	if trouble() {
		lost.crash() // for good
	}
	calm := time.Now()
	idle, worst, room := time.Now(), time.Duration(0), int64(0)
	for time.Since(calm) < 40*time.Second {
		time.Sleep(50 * time.Millisecond)
		n, free := 0, int64(0)
		for _, x := range w.executors {
			x.mu.Lock()
			has := false
			for _, r := range x.runs {
				if jobOf(r.task) == spread {
					n++
					has = true
				}
			}
			if x.up && !has {
				free = max(free, x.cpu-x.used())
			}
			x.mu.Unlock()
		}
		if n == 8 || free < 8000 || time.Since(calm) < 7*time.Second {
			idle = time.Now()
		}
		if d := time.Since(idle); d > worst {
			worst, room = d, free
		}
	}
	var broken []string
	if worst > 3*time.Second {
		broken = append(broken, fmt.Sprintf("LOST: one of 8 work items of %s, which last, doesn't run for %.1f s from 7 s after the last disruption on; an executor that has none of them has %d of 16 cores free, and it needs 4", spread, worst.Seconds(), room/1000))
	}
	w.verdict(broken)
}

// lateStart has an executor leave one start unanswered, crash, and start again under its id. The start
// is carried out seconds later, as a call without an answer may be.
func lateStart(w *world) {
	for i := range 9 {
		kind := "a"
		if i < 2 {
			kind = "b"
		}
		w.newExecutor(fmt.Sprintf("i-%08x", 0x7f3a0000+i), fmt.Sprintf("m-%d", i+1), service, kind, fmt.Sprintf("r1-%d", 1+i/4)).boot()
	}
	w.configure([]route{{"r-1", prefix, service, 3}}, service)
	w.startEntries(3)
	time.Sleep(3 * time.Second)
	for n := range 8 {
		w.shortJob(n, prefix, id(1, n), 2)
	}
	time.Sleep(2 * time.Second)
	job := id(8, 0)
	held := make(chan *executor, 1)
	if trouble() {
		var once sync.Once
		for _, x := range w.executors[:2] {
			x.mu.Lock()
			x.late = func(task string) bool {
				first := false
				if jobOf(task) == job {
					once.Do(func() { first = true; held <- x })
				}
				return first
			}
			x.mu.Unlock()
		}
	}
	b := phases(map[string]any{"count": 1, "cpu": 1000, "memMb": 1024, "estimateMs": 10000, "requires": "b"})
	w.submit(0, prefix, job, work{ms: 10000, cpu: 1000}, 1, b, 2)
	if trouble() {
		select {
		case x := <-held:
			time.Sleep(200 * time.Millisecond)
			x.crash()
			time.Sleep(1500 * time.Millisecond)
			x.boot()
		case <-time.After(5 * time.Second):
			w.fatal("no start was sent")
		}
	}
	var broken []string
	for t := time.Now(); time.Since(t) < 20*time.Second; time.Sleep(5 * time.Millisecond) {
		var on []string
		for _, x := range w.executors {
			x.mu.Lock()
			for _, r := range x.runs {
				if jobOf(r.task) == job {
					on = append(on, r.String()+" on "+x.id)
				}
			}
			x.mu.Unlock()
		}
		if len(on) > 1 && len(broken) == 0 {
			broken = append(broken, "TWICE: two runs of one work item at the same time, on executors that are up: "+strings.Join(on, ", "))
		}
	}
	w.state(1, w.jobs[job])
	w.verdict(broken)
}

// awaitRun waits until a work item of a job runs.
func (w *world) awaitRun(id string, limit time.Duration) {
	for t := time.Now(); time.Since(t) < limit; time.Sleep(10 * time.Millisecond) {
		for _, x := range w.executors {
			x.mu.Lock()
			for _, r := range x.runs {
				if jobOf(r.task) == id {
					x.mu.Unlock()
					return
				}
			}
			x.mu.Unlock()
		}
	}
	w.record("no work item of %s runs within %.0f s", id, limit.Seconds())
}

// sameID has a consumer use one ID for two jobs, on routes of two services, and cancel one of them.
func sameID(w *world) {
	const second = "kafi81c"
	for i := range 6 {
		s := service
		if i > 2 {
			s = second
		}
		w.newExecutor(fmt.Sprintf("i-%08x", 0x7f3a0000+i), fmt.Sprintf("m-%d", i+1), s, "a", fmt.Sprintf("r1-%d", 1+i/4)).boot()
	}
	w.configure([]route{{"r-1", prefix, service, 3}, {"r-2", other, second, 3}}, service, second)
	w.startEntries(3)
	time.Sleep(3 * time.Second)
	b := phases(map[string]any{"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 10000})
	j := w.submit(0, other, id(7, 0), work{ms: 10000, cpu: 500}, 1, b, 2)
	time.Sleep(time.Second)
	if trouble() {
		w.record("client: cancels a job of that ID on the other route, where it was never accepted")
		code, _ := w.call(1, "DELETE", prefix, j.id, nil)
		w.record("client: DELETE %s%s: %d", prefix, j.id, code)
	}
	time.Sleep(14 * time.Second)
	_, s := w.state(2, j)
	var broken []string
	if s == "cancelled" {
		broken = append(broken, "LOST: the accepted job "+j.prefix+j.id+" is shown as cancelled, and nobody has cancelled it")
	}
	w.verdict(broken)
}
