package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// work says how a job's work items behave: the spec of the job names it.
type work struct {
	ms    int64 // how long a run takes
	fails bool
	lasts bool
	cpu   int64
	label string // the label that the executor must have
}

// executor runs work items. One executor object is one machine, over its boots.
type executor struct {
	w       *world
	id      string
	machine string
	service string
	rack    string
	addr    string

	mu       sync.Mutex
	up       bool
	kind     string
	born     time.Time
	bornMs   int64
	wake     chan struct{}
	fence    int64
	deadline int64
	runs     map[string]*run
	highest  map[string]int64 // by work item, the highest run that was stopped or ended
	finished []end
	lastEnd  int64
	sequence int64
	cpu      int64
	server   *http.Server
	// late reports whether a start gets no answer and is carried out lateBy later; nil for none.
	late     func(task string) bool
	inUpkeep bool
}

// lateBy is how long after its arrival a late start is carried out, and lateFor how long its caller
// waits in vain at most.
const (
	lateBy  = 4 * time.Second
	lateFor = 3 * time.Second
)

type run struct {
	task  string
	run   int64
	began time.Time
	w     work
}

type end struct {
	n    int64
	task string
	run  int64
	how  string
	at   time.Time
}

func (w *world) newExecutor(id, machine, service, kind, rack string) *executor {
	x := &executor{w: w, id: id, machine: machine, service: service, kind: kind, rack: rack, cpu: 16000, addr: w.freeAddr("127.0.0.1")}
	w.executors = append(w.executors, x)
	return x
}

// boot starts the executor under its id. It registers at once, and then at each heartbeat.
func (x *executor) boot() {
	x.mu.Lock()
	x.up, x.born, x.bornMs = true, time.Now(), time.Now().UnixMilli()
	x.fence, x.deadline, x.lastEnd, x.sequence = 0, 0, 0, 0
	x.runs, x.highest, x.finished, x.wake = map[string]*run{}, map[string]int64{}, nil, make(chan struct{})
	born := x.born
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", x.addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		x.w.fatal("listen for an executor: %v", err)
	}
	x.server = &http.Server{Handler: x}
	s := x.server
	x.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	go func() {
		for x.alive(born) {
			x.report()
			time.Sleep(heartbeat)
		}
	}()
	go func() {
		for x.alive(born) {
			x.mu.Lock()
			x.settle()
			x.mu.Unlock()
			time.Sleep(5 * time.Millisecond)
		}
	}()
	x.w.record("executor %s boots, kind %s", x.id, x.kind)
}

func (x *executor) alive(born time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.up && x.born.Equal(born)
}

// crash ends the executor without a word. Its entry expires after three heartbeats.
func (x *executor) crash() {
	x.mu.Lock()
	x.up = false
	n, born := len(x.runs), x.born
	for _, r := range x.runs {
		x.w.ran(x, r, "crashed")
	}
	x.runs = map[string]*run{}
	close(x.wake)
	x.wake = make(chan struct{})
	s := x.server
	x.mu.Unlock()
	_ = s.Close()
	x.w.record("executor %s crashes with %d runs", x.id, n)
	go func() {
		time.Sleep(3 * heartbeat)
		x.mu.Lock()
		gone := !x.up && x.born.Equal(born)
		x.mu.Unlock()
		if gone {
			x.w.store.put("keyed.servers", x.id, nil)
		}
	}()
}

// upkeep takes the machine down for maintenanceS, and reports whether it was up. An executor with
// another id joins after that.
func (x *executor) upkeep() bool {
	x.mu.Lock()
	up, id := x.up, x.id
	x.inUpkeep = up
	x.mu.Unlock()
	if !up {
		return false
	}
	x.crash()
	x.w.store.put("keyed.servers", id, nil)
	x.w.record("machine %s is down for its upkeep", x.machine)
	time.AfterFunc(2*time.Second, func() {
		x.mu.Lock()
		x.id, x.inUpkeep = id+"b", false
		x.mu.Unlock()
		x.boot()
	})
	return true
}

func (x *executor) clock() int64 { return time.Since(x.born).Milliseconds() }

func (x *executor) report() {
	x.mu.Lock()
	x.sequence++
	b, _ := json.Marshal(map[string]any{
		"service": x.service, "address": x.addr, "zone": "muscat-a", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
		"capacity": map[string]any{"cpu": x.cpu, "memMb": 32768, "gpu": 0}, "labels": []string{x.kind, x.rack},
		"clockMs": x.clock(), "sequence": x.sequence, "born": x.bornMs, "machine": x.machine,
	})
	up := x.up
	x.mu.Unlock()
	if up {
		x.w.store.put("keyed.servers", x.id, b)
	}
}

// settle ends the runs whose time has come. The caller holds the lock.
func (x *executor) settle() {
	for _, r := range x.runs {
		switch {
		case x.clock() >= x.deadline:
			x.end(r, "lapsed")
		case r.w.lasts || time.Since(r.began).Milliseconds() < r.w.ms:
		case r.w.fails:
			x.end(r, "failed")
		default:
			x.end(r, "done")
		}
	}
}

func (x *executor) end(r *run, how string) {
	delete(x.runs, r.task)
	x.highest[r.task] = max(x.highest[r.task], r.run)
	x.lastEnd++
	x.finished = append(x.finished, end{x.lastEnd, r.task, r.run, how, time.Now()})
	x.w.ran(x, r, how)
	close(x.wake)
	x.wake = make(chan struct{})
}

func (x *executor) used() int64 {
	n := int64(0)
	for _, r := range x.runs {
		n += r.w.cpu
	}
	return n
}

func (x *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Task         string
		Run          int64
		Spec         string
		DeadlineMs   int64 `json:"deadlineMs"`
		FencingToken int64 `json:"fencingToken"`
		Acked        int64
		WaitMs       int64 `json:"waitMs"`
	}
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", x.id)
		reply(w, 200, map[string]any{})
		return
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		reply(w, 400, map[string]any{})
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	born := x.born
	if !x.up {
		panic(http.ErrAbortHandler)
	}
	if v := r.Header.Get("Expect-Instance"); v != "" && v != x.id {
		reply(w, 421, map[string]any{"clockMs": x.clock()})
		return
	}
	if q.FencingToken < x.fence {
		reply(w, 409, map[string]any{"clockMs": x.clock(), "reason": "fence"})
		return
	}
	x.fence = q.FencingToken
	x.settle()
	switch r.URL.Path {
	case "/api/run-start":
		if x.late != nil && x.late(q.Task) {
			x.w.record("executor %s leaves the start of %s run %d unanswered", x.id, q.Task, q.Run)
			time.AfterFunc(lateBy, func() { x.carryOut(q.Task, q.Run, q.Spec, q.DeadlineMs, q.FencingToken) })
			x.mu.Unlock()
			select {
			case <-r.Context().Done():
			case <-time.After(lateFor):
			}
			x.mu.Lock()
			panic(http.ErrAbortHandler)
		}
		if why := x.start(q.Task, q.Run, q.Spec, q.DeadlineMs); why != "" {
			reply(w, 409, map[string]any{"clockMs": x.clock(), "reason": why})
			return
		}
	case "/api/run-stop":
		x.highest[q.Task] = max(x.highest[q.Task], q.Run)
		if v := x.runs[q.Task]; v != nil && v.run <= q.Run {
			x.end(v, "stopped")
		}
	case "/api/pace":
	case "/api/hold":
		x.extend(q.DeadlineMs)
		for len(x.finished) > 0 && x.finished[0].n <= q.Acked {
			x.w.acked(x.finished[0])
			x.finished = x.finished[1:]
		}
		t := time.After(time.Duration(min(q.WaitMs, 2000)) * time.Millisecond)
		for waiting := q.WaitMs > 0; waiting && len(x.finished) == 0; {
			wake := x.wake
			x.mu.Unlock()
			select {
			case <-wake:
			case <-t:
				waiting = false
			}
			x.mu.Lock()
			if !x.up || !x.born.Equal(born) {
				panic(http.ErrAbortHandler)
			}
		}
		running, finished := [][]any{}, [][]any{}
		for _, v := range x.runs {
			p := int64(100)
			if !v.w.lasts {
				p = min(99, time.Since(v.began).Milliseconds()*100/max(1, v.w.ms))
			} else if time.Since(v.began) < 200*time.Millisecond {
				p = 50
			}
			running = append(running, []any{v.task, v.run, "", p, v.w.cpu})
		}
		for _, e := range x.finished[:min(500, len(x.finished))] {
			finished = append(finished, []any{e.n, e.task, e.run, e.how, ""})
		}
		reply(w, 200, map[string]any{"clockMs": x.clock(), "born": x.bornMs, "running": running, "finished": finished})
		return
	default:
		reply(w, 404, map[string]any{})
		return
	}
	reply(w, 200, map[string]any{"clockMs": x.clock()})
}

// carryOut carries out a late start, which named the executor's id.
func (x *executor) carryOut(task string, n int64, spec string, deadline, token int64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	why := "down"
	switch {
	case !x.up:
	case token < x.fence:
		why = "fence"
	default:
		x.fence = token
		x.settle()
		why = x.start(task, n, spec, deadline)
	}
	x.w.record("executor %s carries out the late start of %s run %d; refused: %q", x.id, task, n, why)
}

func (x *executor) extend(deadline int64) {
	x.deadline = max(x.deadline, min(deadline, x.clock()+holdMax.Milliseconds()))
}

// start begins a run, or returns the reason for which it is refused.
func (x *executor) start(task string, n int64, spec string, deadline int64) string {
	if r := x.runs[task]; r != nil && r.run == n {
		x.extend(deadline)
		return ""
	}
	if n <= x.highest[task] {
		x.extend(deadline)
		return "old"
	}
	if deadline <= x.clock() {
		return "late"
	}
	k := x.w.workOf(task, spec)
	if x.used()+k.cpu > x.cpu {
		x.extend(deadline)
		return "room"
	}
	x.extend(deadline)
	r := &run{task: task, run: n, began: time.Now(), w: k}
	x.runs[task] = r
	x.w.started(x, r)
	return ""
}

func jobOf(task string) string { j, _, _ := strings.Cut(task, "."); return j }

func (r *run) String() string { return fmt.Sprintf("%s run %d", r.task, r.run) }
