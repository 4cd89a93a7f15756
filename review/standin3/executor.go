package main

import (
	"cmp"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	stopTime    = 100 * time.Millisecond
	longestHold = 10 * time.Second
	// startupTime is how long a work item that lasts takes until it is at work.
	startupTime = 900 * time.Millisecond
)

// work is what the work items of a step do.
type work struct {
	takes time.Duration
	lasts bool
	// exits is when a work item that lasts ends by itself, as done; zero for never.
	exits time.Duration
}

// run is a run on an executor.
type run struct {
	task     string
	number   int64
	token    int64
	began    time.Time
	work     work
	stopping bool
	timer    *time.Timer
}

type ended struct {
	n    int64
	task string
	run  int64
	how  string
}

// executor is a stand-in of an executor.
type executor struct {
	site    *site
	id      string
	machine string
	address string
	labels  []string

	mu       sync.Mutex
	up       bool
	born     int64
	booted   time.Time
	token    int64
	deadline int64
	lease    *time.Timer
	runs     map[string]*run
	highest  map[string]int64
	ends     []ended
	lastEnd  int64
	acked    int64
	changed  chan struct{}
	server   *http.Server
	boot     int
}

// rack returns the rack of the executor.
func (e *executor) rack() string { return e.labels[len(e.labels)-1] }

// start boots the executor. It knows nothing of an earlier boot.
func (e *executor) start() {
	l, err := net.Listen("tcp", e.address)
	for range 50 {
		if err == nil {
			break
		}
		time.Sleep(2 * time.Millisecond)
		l, err = net.Listen("tcp", e.address)
	}
	check(err)
	e.mu.Lock()
	e.address = l.Addr().String()
	e.boot++
	e.up, e.booted = true, time.Now()
	e.born = e.booted.UnixMilli()
	e.token, e.deadline, e.lastEnd, e.acked, e.ends = 0, 0, 0, 0, nil
	e.runs, e.highest, e.changed = make(map[string]*run), make(map[string]int64), make(chan struct{})
	boot := e.boot
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", e.handleStart)
	mux.HandleFunc("POST /api/run-stop", e.handleStop)
	mux.HandleFunc("POST /api/pace", e.handlePace)
	mux.HandleFunc("POST /api/hold", e.handleHold)
	e.server = &http.Server{Handler: mux}
	s := e.server
	e.mu.Unlock()
	e.site.log("executor %s boots, boot %d, born %d", e.id, boot, e.born)
	go func() { _ = s.Serve(l) }()
	go e.report(boot)
}

// crash ends the executor and all that runs on it. It says nothing to anybody.
func (e *executor) crash() {
	e.mu.Lock()
	e.up = false
	s := e.server
	var l []*run
	for _, r := range e.runs {
		r.timer.Stop()
		l = append(l, r)
	}
	e.runs = make(map[string]*run)
	if e.lease != nil {
		e.lease.Stop()
	}
	boot := e.boot
	e.mu.Unlock()
	_ = s.Close()
	e.site.log("executor %s crashes, boot %d", e.id, boot)
	for _, r := range l {
		e.site.ended(e, boot, r.task, r.number, "crashed")
	}
}

// report registers the executor every heartbeat for as long as the boot lives.
func (e *executor) report(boot int) {
	for n := 1; ; n++ {
		e.mu.Lock()
		if !e.up || e.boot != boot {
			e.mu.Unlock()
			return
		}
		b, _ := json.Marshal(object{
			"service": e.site.service, "address": e.address, "zone": "zone-a", "version": "1", "slots": 8, "state": "ready",
			"coldRemainingMs": 0, "sequence": n, "capacity": object{"cpu": 16000, "memMb": 32768, "gpu": 0},
			"labels": e.labels, "clockMs": e.clock(), "born": e.born, "machine": e.machine,
		})
		e.mu.Unlock()
		e.site.store.put("keyed.servers", e.id, b)
		time.Sleep(heartbeat)
	}
}

// clock returns the steady clock of the boot, in milliseconds.
func (e *executor) clock() int64 { return 1000 + time.Since(e.booted).Milliseconds() }

type call struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Token      int64  `json:"fencingToken"`
	Checkpoint string `json:"checkpoint"`
	Acked      int64  `json:"acked"`
	WaitMs     int64  `json:"waitMs"`
	Percent    int    `json:"percent"`
}

// read decodes a call and checks whom it is for and its token. The caller holds the lock if ok.
func (e *executor) read(w http.ResponseWriter, r *http.Request) (c call, ok bool) {
	b, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(b, &c) != nil {
		answer(w, http.StatusBadRequest, object{})
		return c, false
	}
	if x := r.Header.Get("Expect-Instance"); x != "" && x != e.id {
		answer(w, http.StatusMisdirectedRequest, object{})
		return c, false
	}
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if c.Token < e.token {
		v := object{"clockMs": e.clock(), "reason": "fence"}
		e.mu.Unlock()
		answer(w, http.StatusConflict, v)
		return c, false
	}
	e.token = c.Token
	return c, true
}

// extend moves the end of the lease.
func (e *executor) extend(ms int64) {
	if ms <= 0 {
		return
	}
	now := e.clock()
	ms = min(ms, now+longestHold.Milliseconds())
	if ms <= e.deadline {
		return
	}
	e.deadline = ms
	if e.lease != nil {
		e.lease.Stop()
	}
	boot := e.boot
	e.lease = time.AfterFunc(time.Duration(ms-now)*time.Millisecond, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.boot != boot || !e.up || e.clock() < e.deadline {
			return
		}
		for _, r := range e.runs {
			e.end(r, "lapsed")
		}
	})
}

func (e *executor) handleStart(w http.ResponseWriter, r *http.Request) {
	c, ok := e.read(w, r)
	if !ok {
		e.site.log("executor %s refuses start of %s run %d, token %d", e.id, c.Task, c.Run, c.Token)
		return
	}
	if by, ok := e.site.isLate(e, c.Task); ok {
		e.mu.Unlock()
		e.site.log("start of %s/%d on %s gets no answer", c.Task, c.Run, e.id)
		go e.carryOutLate(c, by)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, reason := e.startLocked(c)
	v := object{"clockMs": e.clock()}
	if reason != "" {
		v["reason"] = reason
	}
	e.mu.Unlock()
	answer(w, status, v)
}

func (e *executor) startLocked(c call) (int, string) {
	if x := e.runs[c.Task]; x != nil && x.number == c.Run {
		return http.StatusOK, ""
	}
	e.extend(c.DeadlineMs)
	switch {
	case c.DeadlineMs <= e.clock():
		return http.StatusConflict, "late"
	case c.Run <= e.highest[c.Task]:
		return http.StatusConflict, "old"
	}
	k := e.site.workOf(c.Task)
	x := &run{task: c.Task, number: c.Run, token: c.Token, began: time.Now(), work: k}
	e.runs[c.Task] = x
	e.highest[c.Task] = c.Run
	boot, takes := e.boot, k.takes
	if k.lasts {
		takes = cmp.Or(k.exits, time.Hour)
	}
	x.timer = time.AfterFunc(takes, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.boot == boot && e.up && e.runs[x.task] == x {
			e.end(x, "done")
		}
	})
	e.site.began(e, boot, x)
	return http.StatusOK, ""
}

// end ends a run. The caller holds the lock.
func (e *executor) end(r *run, how string) {
	r.timer.Stop()
	delete(e.runs, r.task)
	e.lastEnd++
	e.ends = append(e.ends, ended{e.lastEnd, r.task, r.number, how})
	close(e.changed)
	e.changed = make(chan struct{})
	e.site.ended(e, e.boot, r.task, r.number, how)
}

func (e *executor) handleStop(w http.ResponseWriter, r *http.Request) {
	c, ok := e.read(w, r)
	if !ok {
		return
	}
	e.site.log("executor %s, boot %d, is told to stop %s/%d", e.id, e.boot, c.Task, c.Run)
	e.highest[c.Task] = max(e.highest[c.Task], c.Run)
	if x := e.runs[c.Task]; x != nil && x.number == c.Run && !x.stopping {
		x.stopping = true
		x.timer.Stop()
		boot := e.boot
		x.timer = time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.boot == boot && e.up && e.runs[x.task] == x {
				e.end(x, "stopped")
			}
		})
	}
	v := object{"clockMs": e.clock()}
	e.mu.Unlock()
	answer(w, http.StatusOK, v)
}

func (e *executor) handlePace(w http.ResponseWriter, r *http.Request) {
	if _, ok := e.read(w, r); ok {
		v := object{"clockMs": e.clock()}
		e.mu.Unlock()
		answer(w, http.StatusOK, v)
	}
}

// percent returns the progress of a run, in whole percent.
func (r *run) percent() int {
	d := r.work.takes
	if r.work.lasts {
		d = startupTime
	}
	return int(min(100, 100*time.Since(r.began)/max(d, 1)))
}

func (e *executor) handleHold(w http.ResponseWriter, r *http.Request) {
	c, ok := e.read(w, r)
	if !ok {
		return
	}
	e.extend(c.DeadlineMs)
	if c.Acked > e.acked {
		for len(e.ends) > 0 && e.ends[0].n <= c.Acked {
			x := e.ends[0]
			e.site.noted(e, x)
			e.ends = e.ends[1:]
		}
		e.acked = c.Acked
	}
	boot, until := e.boot, time.Now().Add(time.Duration(min(c.WaitMs, 2000))*time.Millisecond)
	for len(e.ends) == 0 && time.Now().Before(until) {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
		}
		e.mu.Lock()
		if e.boot != boot || !e.up || r.Context().Err() != nil {
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, x := range e.runs {
		gauge := 500
		if x.work.lasts {
			gauge = 20
		}
		running = append(running, []any{x.task, x.number, "", x.percent(), gauge})
	}
	for i, x := range e.ends {
		if i == 500 {
			break
		}
		finished = append(finished, []any{x.n, x.task, x.run, x.how, ""})
	}
	v := object{"clockMs": e.clock(), "born": e.born, "running": running, "finished": finished}
	e.mu.Unlock()
	answer(w, http.StatusOK, v)
}
