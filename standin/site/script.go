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
	_poll = 25 * time.Millisecond
	// _patience is how long a session waits for what must come.
	_patience = 20 * time.Second
	// _callTimeout is above any caller's patience.
	_callTimeout = 5 * time.Second
)

// ErrCommand says that a line of a session can't be read.
var ErrCommand = errors.New("unknown command")

// Play runs a session and writes what came of each line. Lines are:
//
//	start NAME ...           start entries
//	post QUEUE JOB SPEC BODY hand a job in; the body is that of PROTOCOL with $SPEC
//	raw QUEUE JOB BODY       send a body as it is
//	get|delete QUEUE JOB, pending QUEUE
//	await QUEUE JOB STATE    wait for a state
//	begun N                  wait until that many runs have begun
//	judge JOB                how often its tasks were done, and what was wrong
//	lose N, hold, release    appends to the journal whose answers are lost, or that wait
//	late MACHINE MS          the next start there has no answer and is carried out late
//	heard N                  wait until that many things were said, and print each once
//	rebirth MACHINE          it starts anew under its ID
//	dark MACHINE, light MACHINE
//	owner POOL               kill the entry that owns a pool
//	kill|term|hup NAME
//	rebalance, compact, down STATUS, up, publish
//	wave MACHINES N, waved N
//	sleep MS
func (s *Site) Play(script string, w io.Writer) error {
	sc := bufio.NewScanner(strings.NewReader(script))
	sc.Buffer(nil, 1<<20)
	for sc.Scan() {
		line := strings.TrimSpace(sc.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		f := strings.Fields(line)
		out, err := s.do(f, line)
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

func (s *Site) do(f []string, line string) (string, error) {
	switch f[0] {
	case "start":
		for _, n := range f[1:] {
			if err := s.StartEntry(n); err != nil {
				return "", err
			}
		}
		return "", nil
	case "post", "raw", "get", "delete", "pending", "await":
		return s.call(f, line)
	case "judge":
		return s.judge(f[1]), nil
	case "begun", "heard", "waved":
		return s.wait(f)
	case "kill", "term", "hup", "owner":
		return "", s.process(f)
	case "sleep":
		ms, err := strconv.Atoi(f[1])
		time.Sleep(time.Duration(ms) * time.Millisecond)
		return "", err
	}
	return "", s.disturb(f)
}

// disturb changes what surrounds the entries.
func (s *Site) disturb(f []string) error {
	n := 0
	if len(f) > 1 {
		n, _ = strconv.Atoi(f[len(f)-1]) // A word that is no number stands for zero.
	}
	switch f[0] {
	case "lose":
		s.store.set(func() { s.store.loseAppends = n })
	case "hold":
		s.store.set(func() { s.store.hold = make(chan struct{}) })
	case "release":
		s.store.set(func() { close(s.store.hold); s.store.hold = nil })
	case "down":
		s.store.set(func() { s.store.down = n })
	case "up":
		s.store.set(func() { s.store.down = 0 })
	case "late":
		s.upstreams[f[1]].set(func(u *Upstream) { u.late = time.Duration(n) * time.Millisecond })
	case "dark":
		s.upstreams[f[1]].set(func(u *Upstream) { u.down = true })
	case "light":
		s.upstreams[f[1]].set(func(u *Upstream) { u.down = false })
	case "rebirth":
		u := s.upstreams[f[1]]
		u.rebirth(u.report.ID, u.report.Pool)
		u.beat()
	case "rebalance":
		s.store.Rebalance()
	case "compact":
		s.store.Compact()
	case "publish":
		s.publish()
	case "wave":
		s.wave(int64(n), strings.Split(f[1], ","))
	default:
		return ErrCommand
	}
	return nil
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

func (s *Site) process(f []string) error {
	name := f[1]
	switch f[0] {
	case "owner":
		p := slices.Index([]string{"", "fitting", "returns"}, name)
		if name = s.Owner(p); name == "" {
			return fmt.Errorf("owner of %s: %w", f[1], ErrCommand)
		}
		s.Kill(name)
		return s.StartEntry(name)
	case "kill":
		s.Kill(name)
	case "term":
		return s.Terminate(name)
	case "hup":
		return s.Signal(name, syscall.SIGHUP)
	}
	return nil
}

// wait waits for something that must come.
func (s *Site) wait(f []string) (string, error) {
	n, err := strconv.Atoi(f[1])
	if err != nil {
		return "", ErrCommand
	}
	for end := time.Now().Add(_patience); time.Now().Before(end); time.Sleep(_poll) {
		switch f[0] {
		case "begun":
			if s.begun() >= n {
				return "", nil
			}
		case "heard":
			if l := s.heard(n); l != nil {
				return strings.Join(l, "\n  "), nil
			}
		case "waved":
			if r, ok := s.store.Get(platform.TopicStatus, platform.KeyWavePrefix+f[1]); ok {
				rec := platform.Record{Key: platform.KeyWavePrefix + f[1], Value: r}
				if _, done := platform.DecodeWaveStatus(rec); done {
					return "completed", nil
				}
			}
		}
	}
	return "not within " + _patience.String(), nil
}

func (s *Site) begun() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, d := range s.tasks {
		n += d.begun
	}
	return n
}

func (s *Site) heard(n int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.said) < n {
		return nil
	}
	l := slices.Compact(slices.Sorted(slices.Values(s.said)))
	s.said = nil
	return l
}

// call plays a caller. Calls that fail are repeated, as callers do: at another
// entry, with the same ID.
func (s *Site) call(f []string, line string) (string, error) {
	q := s.queue(f[1])
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
		if err := s.remember(f[2], q, []byte(f[3]), []byte(body)); err != nil {
			return "", err
		}
	case "raw":
		method, body = http.MethodPost, s.rawBody(line)
	case "delete":
		method = http.MethodDelete
	}
	return s.ask(method, q.Host, path, body)
}

// rawBody is the rest of the line; a word of the form xN stands for N letters.
func (s *Site) rawBody(line string) string {
	rest := strings.SplitN(line, " ", 4)[3]
	before, after, ok := strings.Cut(rest, "$x")
	if !ok {
		return rest
	}
	digits := len(after) - len(strings.TrimLeft(after, "0123456789"))
	n, _ := strconv.Atoi(after[:digits]) // Digits are a number.
	return before + strings.Repeat("x", n) + after[digits:]
}

func (s *Site) queue(name string) platform.Queue {
	for _, q := range s.config.Queues {
		if q.Name == name {
			return q
		}
	}
	return platform.Queue{Name: name, Host: "desk.example", Prefix: "/" + name + "/"}
}

// remember keeps what a job asks for, so that runs can be judged.
func (s *Site) remember(id string, q platform.Queue, spec, body []byte) error {
	j, err := platform.DecodeJob(id, q.Name, q.Pool, body)
	if err != nil {
		return fmt.Errorf("job: %w", err)
	}
	d := &submitted{Job: j, policy: q.Advice.Needed()}
	if err := json.Unmarshal(spec, &d.behaviour); err != nil {
		return fmt.Errorf("spec: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[id] = d
	return nil
}

// ask sends a request to one entry after the other until one answers it.
func (s *Site) ask(method, host, path, body string) (string, error) {
	last := "no answer"
	for end := time.Now().Add(_patience); time.Now().Before(end); time.Sleep(_poll) {
		for _, name := range s.names() {
			code, text := s.askOne(name, method, host, path, body)
			switch code {
			case 0, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusServiceUnavailable:
				last = fmt.Sprintf("%d %s", code, text)
				continue
			}
			return fmt.Sprintf("%d %s", code, text), nil
		}
	}
	return last, nil
}

func (s *Site) names() []string {
	var l []string
	for n := range s.boots {
		l = append(l, n)
	}
	slices.Sort(l)
	return l
}

func (s *Site) askOne(name, method, host, path, body string) (int, string) {
	u := "http://" + s.boots[name].CallerAddress.String() + path
	r, err := http.NewRequest(method, u, bytes.NewReader([]byte(body))) //nolint:noctx // The client has a time-out.
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(platform.BudgetHeader, "3000")
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
		return a.StatusCode, string(b) + " and when to come back"
	}
	return a.StatusCode, string(b)
}

// awaitState asks for the state of a job until it is the one expected.
func (s *Site) awaitState(q platform.Queue, id, state string) string {
	last := ""
	for end := time.Now().Add(_patience); time.Now().Before(end); time.Sleep(_poll) {
		last, _ = s.ask(http.MethodGet, q.Host, q.Prefix+id, "") // Without an answer it is empty.
		if last == "200 "+string(platform.StateBody(state)) {
			return last
		}
	}
	return "at last " + last
}

func (s *Site) wave(n int64, machines []string) {
	s.store.Put(platform.TopicOperator, serve.Wave(platform.Wave{
		Number: n, Machines: machines, TimeLimit: _patience, MaxDown: 1,
	}))
}
