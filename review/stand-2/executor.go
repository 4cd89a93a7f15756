package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	_heartbeat   = 1500 * time.Millisecond
	_missedBeats = 3
	_holdMax     = 10 * time.Second
	_startup     = 300 * time.Millisecond
	_stopTime    = 100 * time.Millisecond
	_moveTime    = 1500 * time.Millisecond
	_cores       = 16000
	_memory      = 32768
	// The first _shownRefusals refused starts of a work item are in the record, and each _refusalStep-th.
	_shownRefusals = 10
	_refusalStep   = 10_000
)

// behaviour says what the work items of a job do.
type behaviour struct {
	lasts bool
	takes time.Duration
	// fails makes every run end as failed, by the work item's own fault.
	fails bool
	cpu   int
	// advised is set if a start needs a ticket.
	advised bool
}

// machine is a machine with the executor that runs on it.
type machine struct {
	site          *site
	name          string
	rack          string
	port          string
	mu            sync.Mutex
	pool          string
	state         string
	id            string
	lives         int
	up            bool
	born          time.Time
	fence         int64
	deadline      int64
	runs          map[string]*run
	highest       map[string]int64
	ended         []ended
	lastEnd       int64
	sequence      int64
	missed        int
	wake          chan struct{}
	server        *http.Server
	dutyToken     int64
	dutyHolder    string
	ticketsByStep map[string]string
}

type run struct {
	task     string
	number   int64
	began    time.Time
	behave   behaviour
	stopping bool
}

type ended struct {
	number int64
	task   string
	run    int64
	how    string
}

// clock is the executor's steady clock, which begins with its boot. The caller holds the lock.
func (m *machine) clock() int64 { return time.Since(m.born).Milliseconds() + 1000 }

// boot starts an executor. An empty id keeps the former one.
func (m *machine) boot(id string) error {
	l, err := net.Listen("tcp", m.port)
	if err != nil {
		return fmt.Errorf("executor: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if id != "" {
		m.id = id
	}
	m.port = l.Addr().String()
	m.lives++
	m.up, m.state = true, "up"
	m.born, m.fence, m.deadline = time.Now(), 0, 0
	m.runs, m.highest, m.ended, m.lastEnd, m.sequence = make(map[string]*run), make(map[string]int64), nil, 0, 0
	m.ticketsByStep = make(map[string]string)
	m.wake = make(chan struct{})
	life := m.lives
	m.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.serve(w, r, life) })}
	go m.server.Serve(l)
	m.site.rec.printf("executor %s boots on %s in %s, born %d", m.id, m.name, m.pool, m.born.UnixMilli())
	return nil
}

// crash ends the executor without a word.
func (m *machine) crash(why string) {
	m.mu.Lock()
	if !m.up {
		m.mu.Unlock()
		return
	}
	m.up, m.state = false, "down"
	for _, r := range m.runs {
		m.site.rec.run("run ends: %s run %d on %s, lost with its executor (%s)", r.task, r.number, m.id, why)
		m.site.judge.end(m.id, r.task, r.number, "lost")
	}
	m.runs = make(map[string]*run)
	v := m.server
	close(m.wake)
	m.wake = make(chan struct{})
	id := m.id
	m.mu.Unlock()
	m.site.rec.printf("executor %s ends: %s", id, why)
	v.Close()
}

func (m *machine) report() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.id == "" {
		return
	}
	if !m.up {
		if m.missed++; m.missed == _missedBeats {
			m.site.store.put("keyed.servers", m.id, nil)
		}
		return
	}
	m.missed = 0
	m.sequence++
	m.site.store.put("keyed.servers", m.id, map[string]any{
		"service": m.pool, "address": m.port, "zone": "z-a", "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "sequence": m.sequence, "capacity": map[string]any{"cpu": _cores, "memMb": _memory, "gpu": 0},
		"labels": []string{"a", m.rack}, "clockMs": m.clock(), "born": m.born.UnixMilli(), "machine": m.name,
	})
}

type order struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadlineMs"`
	Token      int64  `json:"fencingToken"`
	Ticket     string `json:"ticket"`
	Percent    int    `json:"percent"`
	Acked      int64  `json:"acked"`
	WaitMs     int64  `json:"waitMs"`
}

func (m *machine) serve(w http.ResponseWriter, r *http.Request, life int) {
	if r.URL.Path == "/health" {
		answer(w, http.StatusOK, map[string]any{})
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up || m.lives != life {
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != m.id {
		answer(w, http.StatusMisdirectedRequest, map[string]any{"clockMs": m.clock()})
		return
	}
	m.settle()
	if o.Token < m.fence {
		answer(w, http.StatusConflict, map[string]any{"clockMs": m.clock(), "reason": "fence"})
		return
	}
	m.fence = o.Token
	switch r.URL.Path {
	case "/api/run-start":
		status, reason := m.start(o)
		v := map[string]any{"clockMs": m.clock()}
		if reason != "" {
			v["reason"] = reason
		}
		if status == http.StatusOK {
			m.site.rec.run("start of %s run %d token %d at %s: %d", o.Task, o.Run, o.Token, m.id, status)
		} else if n := m.site.judge.refuse(o.Task); n <= _shownRefusals || n%_refusalStep == 0 {
			m.site.rec.printf("start of %s run %d token %d at %s: %d %s (refusal %d of this work item)", o.Task, o.Run, o.Token, m.id, status, reason, n)
		}
		answer(w, status, v)
	case "/api/run-stop":
		m.stop(o)
		m.site.rec.run("stop of %s run %d token %d at %s", o.Task, o.Run, o.Token, m.id)
		answer(w, http.StatusOK, map[string]any{"clockMs": m.clock()})
	case "/api/pace":
		answer(w, http.StatusOK, map[string]any{"clockMs": m.clock()})
	case "/api/hold":
		m.hold(w, r, o, life)
	default:
		answer(w, http.StatusNotFound, map[string]any{})
	}
}

func (m *machine) extend(d int64) {
	if d > 0 {
		m.deadline = max(m.deadline, min(d, m.clock()+_holdMax.Milliseconds()))
	}
}

func (m *machine) start(o order) (status int, reason string) {
	if r := m.runs[o.Task]; r != nil && r.number == o.Run {
		m.extend(o.DeadlineMs)
		return http.StatusOK, ""
	}
	if m.runs[o.Task] != nil || o.Run <= m.highest[o.Task] {
		m.extend(o.DeadlineMs)
		return http.StatusConflict, "old"
	}
	if o.DeadlineMs <= m.clock() {
		return http.StatusConflict, "late"
	}
	b, known := m.site.judge.behaviourOf(o.Task)
	if !known {
		return http.StatusBadRequest, ""
	}
	used := 0
	for _, r := range m.runs {
		used += r.behave.cpu
	}
	if used+b.cpu > _cores {
		m.extend(o.DeadlineMs)
		return http.StatusConflict, "room"
	}
	if b.advised && (o.Ticket == "" || o.Ticket != m.ticketsByStep[stepOf(o.Task)]) {
		return http.StatusConflict, "ticket"
	}
	m.extend(o.DeadlineMs)
	m.highest[o.Task] = o.Run
	m.runs[o.Task] = &run{task: o.Task, number: o.Run, began: time.Now(), behave: b}
	m.site.rec.run("run begins: %s run %d on %s (service %s)", o.Task, o.Run, m.id, m.pool)
	m.site.judge.begin(m.id, m.pool, o.Task, o.Run)
	life := m.lives
	if !b.lasts {
		time.AfterFunc(b.takes+time.Millisecond, func() { m.tick(life) })
	}
	return http.StatusOK, ""
}

// tick ends the runs whose time has come.
func (m *machine) tick(life int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.up && m.lives == life {
		m.settle()
	}
}

// settle ends the runs that are done, and all if their lease has expired. The caller holds the lock.
func (m *machine) settle() {
	for _, r := range m.runs {
		switch {
		case m.deadline < m.clock():
			m.end(r, "lapsed")
		case !r.behave.lasts && !r.stopping && time.Since(r.began) >= r.behave.takes:
			if r.behave.fails {
				m.end(r, "failed")
			} else {
				m.end(r, "done")
			}
		}
	}
}

func (m *machine) end(r *run, how string) {
	delete(m.runs, r.task)
	m.lastEnd++
	m.ended = append(m.ended, ended{m.lastEnd, r.task, r.number, how})
	m.site.rec.run("run ends: %s run %d on %s, %s", r.task, r.number, m.id, how)
	m.site.judge.end(m.id, r.task, r.number, how)
	close(m.wake)
	m.wake = make(chan struct{})
}

func (m *machine) stop(o order) {
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	r := m.runs[o.Task]
	if r == nil || r.number > o.Run || r.stopping {
		return
	}
	r.stopping = true
	life := m.lives
	time.AfterFunc(_stopTime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.up && m.lives == life && m.runs[r.task] == r {
			m.end(r, "stopped")
		}
	})
}

// hold answers a poll. The caller holds the lock, and gets it back.
func (m *machine) hold(w http.ResponseWriter, r *http.Request, o order, life int) {
	m.extend(o.DeadlineMs)
	for len(m.ended) > 0 && m.ended[0].number <= o.Acked {
		m.site.judge.acked(m.id, m.ended[0])
		m.ended = m.ended[1:]
	}
	until := time.Now().Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for len(m.ended) == 0 && time.Now().Before(until) {
		wake := m.wake
		m.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
		}
		m.mu.Lock()
		if !m.up || m.lives != life || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		if o.Token < m.fence {
			answer(w, http.StatusConflict, map[string]any{"clockMs": m.clock(), "reason": "fence"})
			return
		}
		m.settle()
	}
	running, finished := [][]any{}, [][]any{}
	for _, x := range m.runs {
		percent, gauge := 0, 0
		switch {
		case !x.behave.lasts:
			percent, gauge = int(min(99, 100*time.Since(x.began)/max(x.behave.takes, 1))), x.behave.cpu
		case time.Since(x.began) >= _startup:
			percent, gauge = 100, 10
		}
		running = append(running, []any{x.task, x.number, "", percent, gauge})
	}
	for _, e := range m.ended[:min(len(m.ended), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer(w, http.StatusOK, map[string]any{
		"clockMs": m.clock(), "born": m.born.UnixMilli(), "running": running, "finished": finished,
	})
}
