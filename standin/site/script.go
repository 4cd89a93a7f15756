package site

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

const (
	_pollInterval = 25 * time.Millisecond
	// _waitLimit is how long a command waits for its condition or for an answer.
	_waitLimit = 20 * time.Second
	// _callTimeout exceeds the time-outs of all queues, so that the entry answers first.
	_callTimeout = 5 * time.Second
)

// ErrCommand is returned for a line of a session that is not a command, or that can't be
// executed with its arguments.
var ErrCommand = errors.New("invalid command")

// ErrLate is returned if the tasks of a job aren't at work in time.
var ErrLate = errors.New("tasks are late")

// Play runs a session and writes each line with its result. It stops at the first line
// that fails. Lines are:
//
//	start NAME ...           start entries
//	post QUEUE JOB SPEC BODY submit a job. BODY is the JSON of the platform's protocol, in which
//	                         $SPEC stands for SPEC, a Behaviour as JSON
//	raw QUEUE JOB BODY       submit a body as it is; $xN in it stands for N times x
//	get QUEUE JOB            request the state of a job
//	delete QUEUE JOB         cancel a job
//	pending QUEUE            request the number of pending jobs
//	await QUEUE JOB STATE    wait until a job is in a state
//	begun N                  wait until N runs have started, in all jobs
//	working JOB N MS         wait until N tasks of a job are at work. The session fails unless
//	                         they are within MS of the last start or up
//	hosts N POOL             wait until at least N hosts are up in a pool
//	owners N                 wait until N entries hold partitions
//	recorded N POOL          wait until the journal has N upstreams of a pool as in use
//	judge JOB                print the numbers of the job's completed and current runs,
//	                         and the violations of all jobs
//	lose N                   lose the answers of the next N appends to the topic of jobs
//	hold                     delay appends to the topic of jobs until release
//	release                  end the delay of hold. The appends fail if the store is down by then
//	late HOST MS             delay the next start on a host by MS, and lose its answer
//	stray HOST MS            late, but a later incarnation under the ID carries the start out too
//	heard N                  wait until N late orders and upkeeps have occurred, and print them
//	                         sorted, without duplicates
//	crash HOST MS            end an upstream: it answers nothing, and its connections stay open. The list
//	                         of hosts shows that, and its rebirth, MS late
//	rebirth HOST [MS]        restart an upstream under the same ID. MS says by how much its clock is ahead
//	                         of the former one's, or behind if negative; without it, the clock begins
//	                         at zero, and the next heartbeat is sent at once
//	dark HOST                make an upstream unreachable and stop its heartbeats
//	light HOST               end the fault of dark
//	owner POOL               kill the entry that owns a pool, and start it again
//	freeze POOL              stop the entry that owns a pool by SIGSTOP
//	thaw                     end that
//	kill NAME                kill an entry
//	term NAME                stop an entry in an orderly way
//	hup NAME                 send an entry SIGHUP
//	rebalance                reassign all partitions at once
//	compact                  drop all records but the newest of each key
//	down STATUS              make the store answer all calls with an HTTP status
//	up                       end the fault of down
//	publish                  write a new version of the configuration
//	route QUEUE POOL         write one in which another pool runs the jobs of a queue
//	keys WORKSPACE=KEY,... ...    write one with workspaces and their keys; calls need one then
//	as KEY                   callers send a key from now on; none for -
//	one NAME QUEUE JOB [METHOD]   request the state of a job from one entry, or send it another request
//	cut NAME PEER DIRECTION  cut the path of an entry to a host's upstream, or to the store, which
//	                         is also the default. DIRECTION is requests (held up until mend),
//	                         answers (lost; the default) or both
//	mend NAME PEER           end the faults of cut
//	old NAME ...             run the old build of entries from their next start on
//	new NAME ...             end that
//	launch NAME              start an entry without waiting until it is ready
//	wave HOSTS N             declare wave N for hosts, separated by commas
//	waved N                  wait until wave N has completed
//	sleep MS                 pause
func (s *Site) Play(script string, w io.Writer) error {
	sc := bufio.NewScanner(strings.NewReader(script))
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		line := strings.TrimSpace(sc.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		out, err := s.Do(line)
		if err != nil {
			return fmt.Errorf("%s: %w", line, err)
		}
		fmt.Fprintf(w, "> %s\n", line)
		if out != "" {
			fmt.Fprintf(w, "  %s\n", out)
		}
	}
	return nil
}

// Do executes one line of a session and returns its result.
func (s *Site) Do(line string) (string, error) {
	f := strings.Fields(line)
	switch f[0] {
	case "start":
		s.calmAt = time.Now()
		for _, n := range f[1:] {
			if err := s.StartEntry(n); err != nil {
				return "", err
			}
		}
		return "", nil
	case "post", "raw", "get", "delete", "pending", "await":
		return s.call(f, line)
	case "judge":
		return s.summary(f[1]), nil
	case "begun", "heard", "waved", "hosts", "owners", "recorded":
		return s.waitFor(f)
	case "working":
		return "", s.awaitWork(f)
	case "one":
		return s.askOne(f[1], f[2], f[3], f[4:]...), nil
	case "launch":
		return "", s.LaunchEntry(f[1])
	case "keys":
		s.setKeys(f[1:])
		return "", nil
	case "as":
		s.UseKey(strings.TrimPrefix(f[1], "-"))
		return "", nil
	case "thaw":
		return "", s.thaw()
	case "kill", "term", "hup", "owner", "freeze":
		return "", s.controlEntry(f)
	case "sleep":
		ms, err := strconv.Atoi(f[1])
		time.Sleep(time.Duration(ms) * time.Millisecond)
		return "", err
	}
	return "", s.changePlatform(f)
}

// changePlatform changes the platform around the entries or injects a fault into it.
func (s *Site) changePlatform(f []string) error {
	n := 0
	if len(f) > 1 {
		n, _ = strconv.Atoi(f[len(f)-1]) // A word that isn't a number counts as zero.
	}
	switch f[0] {
	case "lose", "hold", "release", "down", "up", "rebalance", "compact":
		s.changeStore(f[0], n)
	case "late", "stray":
		s.upstreams[f[1]].set(func(u *Upstream) {
			u.startDelay, u.strays = time.Duration(n)*time.Millisecond, f[0] == "stray"
		})
	case "crash":
		s.crash(f[1], time.Duration(n)*time.Millisecond)
	case "dark":
		s.upstreams[f[1]].setDown()
	case "light":
		s.upstreams[f[1]].set(func(u *Upstream) { u.down = u.crashed })
		s.faults.end("dark " + f[1])
	case "rebirth":
		var clock *time.Duration
		if len(f) > 2 {
			d := time.Duration(n) * time.Millisecond
			clock = &d
		}
		s.rebirth(f[1], clock)
	case "publish":
		s.publish()
	case "route":
		s.moveQueue(f[1], f[2])
	case "old", "new":
		return s.useOld(f[1:], f[0] == "old")
	case "cut", "mend":
		return s.cutPath(f[0], f[1:])
	case "wave":
		s.wave(int64(n), strings.Split(f[1], ","))
	default:
		return ErrCommand
	}
	return nil
}

// changeStore changes the store or injects a fault into it.
func (s *Site) changeStore(verb string, n int) {
	switch verb {
	case "lose":
		s.store.set(func() { s.store.loseAppends = n })
	case "hold":
		s.faults.begin("hold")
		s.store.set(func() { s.store.hold = make(chan struct{}) })
	case "release":
		s.store.set(func() { close(s.store.hold); s.store.hold = nil })
		s.faults.end("hold")
	case "down":
		s.faults.begin("down")
		s.store.set(func() { s.store.downStatus = n })
	case "up":
		s.calmAt = time.Now()
		s.store.set(func() { s.store.downStatus = 0 })
		s.faults.end("down")
	case "rebalance":
		s.store.Rebalance()
	case "compact":
		s.store.Compact()
	}
}

func (s *Store) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (u *Upstream) set(f func(*Upstream)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	f(u)
}

func (s *Site) controlEntry(f []string) error {
	name := f[1]
	if f[0] == "owner" || f[0] == "freeze" {
		if name = s.PoolOwner(name); name == "" {
			return fmt.Errorf("pool %s has no owner: %w", f[1], ErrCommand)
		}
	}
	switch f[0] {
	case "owner":
		s.Kill(name)
		return s.StartEntry(name)
	case "freeze":
		s.frozen = append(s.frozen, name)
		return s.Signal(name, syscall.SIGSTOP)
	case "kill":
		s.Kill(name)
	case "term":
		return s.Terminate(name)
	case "hup":
		return s.Signal(name, syscall.SIGHUP)
	}
	return nil
}

// thaw has the entries go on that freeze has stopped.
func (s *Site) thaw() error {
	for _, n := range s.frozen {
		if err := s.Signal(n, syscall.SIGCONT); err != nil {
			return fmt.Errorf("thaw: %w", err)
		}
	}
	s.frozen = nil
	return nil
}

// call executes a caller's command. Like real callers, it repeats a failed call at another
// entry with the same job ID.
func (s *Site) call(f []string, line string) (string, error) {
	q := s.Queue(f[1])
	if f[0] == "await" {
		return s.awaitState(q, f[2], f[3]), nil
	}
	method, body, path := http.MethodGet, "", q.Prefix
	if len(f) > 2 {
		path += f[2]
	}
	switch f[0] {
	case "post":
		method = http.MethodPost
		rest := strings.SplitN(line, " ", 5)
		body = strings.Replace(rest[4], "$SPEC", strings.ReplaceAll(f[3], `"`, `\"`), 1)
		if err := s.RecordJob(f[2], q, []byte(f[3]), []byte(body)); err != nil {
			return "", err
		}
	case "raw":
		method, body = http.MethodPost, s.rawBody(line)
	case "delete":
		method = http.MethodDelete
		s.RecordCancel(f[2])
	}
	return s.callAnyEntry(method, q.Host, path, body)
}

// rawBody returns the body of a raw command, with $xN replaced by N times the letter x.
func (s *Site) rawBody(line string) string {
	rest := strings.SplitN(line, " ", 4)[3]
	before, after, ok := strings.Cut(rest, "$x")
	if !ok {
		return rest
	}
	digits := len(after) - len(strings.TrimLeft(after, "0123456789"))
	n, _ := strconv.Atoi(after[:digits]) // Only digits are left.
	return before + strings.Repeat("x", n) + after[digits:]
}

// Queue returns a queue of the configuration by its name.
func (s *Site) Queue(name string) platform.Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range s.config.Queues {
		if q.Name == name {
			return q
		}
	}
	// A call to an unknown queue must reach the entries too, which refuse it.
	return platform.Queue{Name: name, Host: "desk.example", Prefix: "/" + name + "/"}
}

// RecordJob records a submitted job, which its runs are later checked against.
func (s *Site) RecordJob(id string, q platform.Queue, spec, body []byte) error {
	j, err := platform.DecodeJob(id, q.Name, q.Pool, body)
	if err != nil {
		return fmt.Errorf("decode job: %w", err)
	}
	d := &submitted{Job: j, spec: string(spec), policy: q.Advice.Needed()}
	if err := json.Unmarshal(spec, &d.behaviour); err != nil {
		return fmt.Errorf("decode spec: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[id] = d
	return nil
}

// callAnyEntry sends a request to one entry after the other until an entry answers with a
// status other than 502, 503 and 504, for at most _waitLimit.
func (s *Site) callAnyEntry(method, host, path, body string) (string, error) {
	last := "no answer"
	for end := time.Now().Add(_waitLimit); time.Now().Before(end); time.Sleep(_pollInterval) {
		for _, name := range s.entryNames() {
			code, text := s.callEntry(name, method, host, path, body)
			switch code {
			case 0, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusServiceUnavailable:
				last = fmt.Sprintf("%d %s", code, text)
				continue
			}
			if method == http.MethodDelete {
				s.RecordCancelAnswer(path[strings.LastIndex(path, "/")+1:], name, code)
			}
			return fmt.Sprintf("%d %s", code, text), nil
		}
	}
	return last, nil
}

// entryNames returns the names of all entries that were started so far, in order.
func (s *Site) entryNames() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []string
	for n := range s.boots {
		l = append(l, n)
	}
	slices.Sort(l)
	return l
}

func (s *Site) callEntry(name, method, host, path, body string) (int, string) {
	u := "http://" + s.Address(name).String() + path
	r, err := http.NewRequest(method, u, bytes.NewReader([]byte(body))) //nolint:noctx // The client has a time-out.
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(platform.BudgetHeader, "3000")
	s.authorize(r)
	c := http.Client{Timeout: _callTimeout}
	defer c.CloseIdleConnections()
	a, err := c.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err.Error()
	}
	if a.Header.Get("Retry-After") != "" {
		return a.StatusCode, string(b) + " with Retry-After"
	}
	return a.StatusCode, string(b)
}

// awaitState polls the state of a job until it is the expected one.
func (s *Site) awaitState(q platform.Queue, id, state string) string {
	last := ""
	for end := time.Now().Add(_waitLimit); time.Now().Before(end); time.Sleep(_pollInterval) {
		last, _ = s.callAnyEntry(http.MethodGet, q.Host, q.Prefix+id, "") // The error is always nil.
		if last == "200 "+string(platform.StateBody(state)) {
			return last
		}
	}
	return "state not reached; last answer: " + last
}

func (s *Site) wave(n int64, machines []string) {
	w := platform.Wave{Number: n, Machines: machines, TimeLimit: _waitLimit, MaxDown: 1}
	s.recordWave(w)
	s.store.Put(platform.TopicOperator, serve.Wave(w))
}
