package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes the record of a play.
type recorder struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
	// runs counts the lines about runs, of which the first _maxRunLines are written.
	runs int
}

const _maxRunLines = 300

// run writes a line about a run.
func (r *recorder) run(format string, a ...any) {
	r.mu.Lock()
	r.runs++
	n := r.runs
	r.mu.Unlock()
	switch {
	case n <= _maxRunLines:
		r.printf(format, a...)
	case n == _maxRunLines+1:
		r.printf("further runs aren't listed")
	}
}

func (r *recorder) printf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
}

// site is a small deployment: the platform's stand-ins, and entries as processes.
type site struct {
	rec      *recorder
	store    *store
	judge    *judge
	trouble  bool
	net      string
	root     string
	dir      string
	machines []*machine
	cloudAt  string
	storeAt  string
	adviceAt string
	validMs  int64
	// decide is the fixed part of the time that a call for advice takes, each the part for every
	// executor that it names. One call is handled at a time.
	decide, each time.Duration
	advising     sync.Mutex
	entries      map[string]*entry
	version      int
	client       *http.Client
	// standby is the service whose machines are off; empty for none.
	standby string
	mu      sync.Mutex
	// allowed has the executors that the queues' policy allows; nil for all.
	allowed []string
	// overMemory counts, by daemon, how often it was ended because it exceeded its memory.
	overMemory map[string]int
	closing    bool
	stop       chan struct{}
}

// entry is a daemon of the system.
type entry struct {
	name, ip string
	cmd      *exec.Cmd
	done     chan struct{}
}

// route is a route of the configuration.
type route struct {
	name, prefix, service string
	priority, attempts    int
	timeoutMs             int
	advised               bool
}

// freeNetwork returns the first three numbers of loopback addresses on which the ports of the daemons
// are free.
func freeNetwork() (string, error) {
	for range 20 {
		n := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for k := 1; k <= _daemons; k++ {
			for _, port := range []int{_frontPort, _readyPort, _controlPort, _linkPort} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", n, k, port))
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			return n, nil
		}
	}
	return "", errors.New("no loopback addresses with free ports")
}

func newSite(record string) (*site, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	r := &recorder{f: f, start: time.Now()}
	s := &site{
		rec: r, store: newStore(r), judge: newJudge(r), trouble: os.Getenv("TROUBLE") != "0", root: root, dir: dir,
		net:     network,
		validMs: 3000, decide: 2 * time.Millisecond, each: time.Millisecond, entries: make(map[string]*entry), stop: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	r.printf("TROUBLE=%v", s.trouble)
	for _, x := range []struct {
		at *string
		h  http.Handler
		ip string
	}{
		{&s.storeAt, s.store, s.net + ".101"}, {&s.cloudAt, http.HandlerFunc(s.cloud), s.net + ".102"},
		{&s.adviceAt, http.HandlerFunc(s.advise), s.net + ".103"},
	} {
		l, err := net.Listen("tcp", x.ip+":0")
		if err != nil {
			return nil, err
		}
		*x.at = l.Addr().String()
		go http.Serve(l, x.h)
	}
	go s.beat()
	go serveLaunches()
	return s, nil
}

func (s *site) beat() {
	for {
		for _, m := range s.machines {
			m.report()
		}
		select {
		case <-s.stop:
			return
		case <-time.After(_heartbeat):
		}
	}
}

// addMachines adds machines to a service. They are called before the entries start.
func (s *site) addMachines(pool string, n int) error {
	for range n {
		k := len(s.machines) + 1
		m := &machine{
			site: s, name: fmt.Sprintf("m-%04x", 0x1000+k*37), rack: fmt.Sprintf("r1-%d", (k+3)/4), pool: pool,
			port: fmt.Sprintf("%s.%d:0", s.net, 110+k%140),
		}
		if pool == s.standby {
			m.state = "up" // The machines of a standby service are off.
		} else if err := m.boot(fmt.Sprintf("i-%08x", rand.Uint32())); err != nil {
			return err
		}
		m.report()
		s.machines = append(s.machines, m)
	}
	return nil
}

// publish writes a version of the configuration as the operator does.
func (s *site) publish(services []string, routes ...route) {
	s.version += 1 + rand.IntN(3)
	rs, ss := []map[string]any{}, []map[string]any{}
	for _, r := range routes {
		m := map[string]any{
			"name": r.name, "host": "desk.example", "pathPrefix": r.prefix, "kind": "non_idempotent", "service": r.service,
			"timeoutMs": r.timeoutMs, "targetLatencyMs": 2500, "priority": r.priority, "maxAttempts": r.attempts, "stretch": 2.2,
		}
		if r.advised {
			m["advice"] = map[string]any{"decideMs": s.decide.Milliseconds(), "eachMs": s.each.Milliseconds(), "validMs": s.validMs}
		}
		rs = append(rs, m)
		s.rec.printf("operator: version %d has route %s %s -> service %s", s.version, r.name, r.prefix, r.service)
	}
	for _, n := range services {
		ss = append(ss, map[string]any{"name": n, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": true, "standby": n == s.standby})
	}
	s.store.put("keyed.op", "config", map[string]any{
		"version": s.version, "routes": rs, "services": ss,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	s.rec.printf("operator: version %d is acknowledged, %d routes", s.version, len(routes))
}

// cloud serves the calls about machines.
func (s *site) cloud(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		l := []map[string]any{}
		for _, m := range s.machines {
			m.mu.Lock()
			id := m.id
			if m.state != "up" || !m.up {
				id = ""
			}
			l = append(l, map[string]any{
				"machine": m.name, "pool": m.pool, "state": m.state, "zone": "z-a", "labels": []string{"a", m.rack},
				"capacity": map[string]any{"cpu": _cores, "memMb": _memory, "gpu": 0}, "id": id,
			})
			m.mu.Unlock()
		}
		answer(w, http.StatusOK, map[string]any{"machines": l, "nextToken": nil})
		return
	}
	var q struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	var token int64
	fmt.Sscan(r.Header.Get("Fencing-Token"), &token)
	for _, m := range s.machines {
		if m.name == q.Machine {
			status, reason := m.duty(r.URL.Path, r.Header.Get("Duty-Holder"), token, q.Pool)
			s.rec.printf("duty %s of %s to %q by %s token %d: %d %s", r.URL.Path, q.Machine, q.Pool, r.Header.Get("Duty-Holder"), token, status, reason)
			v := map[string]any{}
			if reason != "" {
				v["reason"] = reason
			}
			answer(w, status, v)
			return
		}
	}
	answer(w, http.StatusBadRequest, map[string]any{})
}

// duty carries out a move or an upkeep.
func (m *machine) duty(path, holder string, token int64, pool string) (status int, reason string) {
	m.mu.Lock()
	if token < m.dutyToken {
		m.mu.Unlock()
		return http.StatusConflict, "fence"
	}
	m.dutyToken, m.dutyHolder = token, holder
	if path == "/api/machine-move" && m.pool == pool && m.state == "up" {
		m.mu.Unlock()
		return http.StatusOK, ""
	}
	if m.state != "up" {
		m.mu.Unlock()
		return http.StatusConflict, "busy"
	}
	old := m.id
	m.mu.Unlock()
	m.crash("ordered " + path)
	if old != "" {
		m.site.store.put("keyed.servers", old, nil)
	}
	m.mu.Lock()
	m.state, m.id = "moving", ""
	m.mu.Unlock()
	time.AfterFunc(_moveTime, func() {
		m.mu.Lock()
		if pool != "" {
			m.pool = pool
		}
		off := m.pool == m.site.standby
		if off {
			m.state = "up"
		}
		m.mu.Unlock()
		if off {
			return
		}
		if m.boot(fmt.Sprintf("i-%08x", rand.Uint32())) == nil {
			m.report()
		}
	})
	return http.StatusOK, ""
}

// advise serves the calls for advice.
func (s *site) advise(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.rec.printf("call for advice on %s for %d executors", q.Step, len(q.Workers))
	s.advising.Lock()
	defer s.advising.Unlock()
	select {
	case <-time.After(s.decide + time.Duration(len(q.Workers))*s.each):
	case <-r.Context().Done():
		s.rec.printf("the daemon gave up the call for advice on %s", q.Step)
		return
	}
	rows := [][]string{}
	s.mu.Lock()
	allowed := s.allowed
	s.mu.Unlock()
	for _, id := range q.Workers {
		if allowed != nil && !slices.Contains(allowed, id) {
			continue
		}
		for _, m := range s.machines {
			m.mu.Lock()
			if m.id == id && m.up {
				if m.ticketsByStep[q.Step] == "" {
					m.ticketsByStep[q.Step] = fmt.Sprintf("%04x-%08x", m.lives, rand.Uint32())
				}
				rows = append(rows, []string{id, m.ticketsByStep[q.Step]})
			}
			m.mu.Unlock()
		}
	}
	s.rec.printf("advice on %s: %d of %d executors are admitted", q.Step, len(rows), len(q.Workers))
	answer(w, http.StatusOK, map[string]any{"admitted": rows, "validMs": s.validMs})
}

const (
	_frontPort, _readyPort, _controlPort, _linkPort = 8624, 8622, 8623, 7060
	// _daemons is the number of daemons of a site.
	_daemons = 3
)

// startEntry starts a daemon, and waits until it is ready.
func (s *site) startEntry(name string) error {
	k := len(s.entries) + 1
	e := s.entries[name]
	if e == nil {
		e = &entry{name: name, ip: fmt.Sprintf("%s.%d", s.net, k)}
		s.entries[name] = e
	}
	if err := s.launchEntry(e); err != nil {
		return err
	}
	for range 100 {
		time.Sleep(50 * time.Millisecond)
		r, err := s.client.Get(fmt.Sprintf("http://%s:%d/api/ready", e.ip, _readyPort))
		if err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				s.rec.printf("daemon %s is ready", name)
				return nil
			}
		}
	}
	return errors.New("daemon " + name + " isn't ready")
}

// launches are the programs to be started.
var launches = make(chan launchRequest)

type launchRequest struct {
	cmd  *exec.Cmd
	done chan error
}

// launch starts a program that the kernel ends with this process, however this one ends.
func launch(c *exec.Cmd) error {
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	q := launchRequest{c, make(chan error)}
	launches <- q
	return <-q.done
}

// serveLaunches starts programs on one thread, which lasts as long as the process: a program ends
// with the thread that started it.
func serveLaunches() {
	runtime.LockOSThread()
	for q := range launches {
		q.done <- q.cmd.Start()
	}
}

// launchEntry starts a daemon as the deploy file does.
func (s *site) launchEntry(e *entry) error {
	boot := filepath.Join(s.dir, e.name+".conf")
	text := strings.NewReplacer("{name}", e.name, "{ip}", e.ip, "{store}", s.storeAt, "{cloud}", s.cloudAt, "{advice}", s.adviceAt).Replace(_boot)
	if err := os.WriteFile(boot, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(s.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	c := exec.Command(filepath.Join(s.root, "target", "entry"), "platform")
	c.Dir = s.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C", "FESCUELANDING_BOOT=" + boot}
	c.Stdout, c.Stderr = out, out
	if err := launch(c); err != nil {
		return err
	}
	d := make(chan struct{})
	e.cmd, e.done = c, d
	go func() { _ = c.Wait(); close(d) }()
	s.rec.printf("daemon %s starts at %s", e.name, e.ip)
	return nil
}

const (
	_memoryLimit = 284 << 20
	_restartIn   = 500 * time.Millisecond
)

// watchMemory ends a daemon that exceeds its memory, and starts it again.
func (s *site) watchMemory() {
	s.mu.Lock()
	s.overMemory = make(map[string]int)
	s.mu.Unlock()
	for n := range s.entries {
		go s.watchMemoryOf(n)
	}
}

func (s *site) watchMemoryOf(name string) {
	for ; ; time.Sleep(20 * time.Millisecond) {
		s.mu.Lock()
		e, closing := s.entries[name], s.closing
		s.mu.Unlock()
		if closing {
			return
		}
		n := anonymousMemory(e.cmd.Process.Pid)
		if n <= _memoryLimit {
			continue
		}
		s.rec.printf("daemon %s exceeds its memory (%d MB) and is killed", name, n>>20)
		_ = e.cmd.Process.Kill()
		<-e.done
		s.mu.Lock()
		s.overMemory[name]++
		closing = s.closing
		s.mu.Unlock()
		if closing {
			return
		}
		time.Sleep(_restartIn)
		s.mu.Lock()
		if !s.closing {
			_ = s.launchEntry(e)
		}
		s.mu.Unlock()
	}
}

// anonymousMemory returns the memory that a process holds, without the pages of its program file.
func anonymousMemory(pid int) int64 {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for l := range strings.Lines(string(b)) {
		if f := strings.Fields(l); len(f) > 1 && f[0] == "RssAnon:" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// signal sends a signal to a daemon.
func (s *site) signal(name string, g syscall.Signal) {
	s.rec.printf("daemon %s gets signal %v", name, g)
	_ = s.entries[name].cmd.Process.Signal(g)
}

// restart stops a daemon as the platform does, and starts it again with its settings.
func (s *site) restart(name string, g syscall.Signal) error {
	s.signal(name, g)
	select {
	case <-s.entries[name].done:
	case <-time.After(6 * time.Second):
		s.signal(name, syscall.SIGKILL)
		<-s.entries[name].done
	}
	s.rec.printf("daemon %s has ended", name)
	time.Sleep(500 * time.Millisecond)
	return s.startEntry(name)
}

// ownerOf returns the daemon that holds a partition of the group.
func (s *site) ownerOf(part int) string {
	m := s.store.holderOf("entries", part)
	for n, e := range s.entries {
		if strings.HasPrefix(m, e.ip+":") {
			return n
		}
	}
	return ""
}

// close ends all daemons. It may be called more than once.
func (s *site) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return
	}
	s.closing = true
	close(s.stop)
	for _, e := range s.entries {
		if e.cmd != nil {
			_ = e.cmd.Process.Kill()
			<-e.done
		}
	}
	// KEEP_LOGS names a folder for the logs of the daemons.
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for n := range s.entries {
			b, _ := os.ReadFile(filepath.Join(s.dir, n+".log"))
			_ = os.WriteFile(filepath.Join(keep, n+".log"), b, 0o600)
		}
	}
	os.RemoveAll(s.dir)
}

// step is a step of a job.
type step map[string]any

// call sends a consumer's request to a daemon, and returns the status and the body. The status is
// zero if there was no answer.
func (s *site) call(entry, method, path string, body any) (int, string) {
	var b []byte
	if body != nil {
		b, _ = json.Marshal(body) // Only maps of plain values are sent.
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", s.entries[entry].ip, _frontPort, path), bytes.NewReader(b))
	if err != nil {
		return 0, err.Error()
	}
	q.Host = "desk.example"
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Deadline-Ms", "3000")
	s.rec.printf("consumer sends %s %s to %s", method, path, entry)
	r, err := s.client.Do(q)
	if err != nil {
		s.rec.printf("consumer gets no answer to %s %s: %v", method, path, err)
		return 0, err.Error()
	}
	defer r.Body.Close()
	t, _ := io.ReadAll(r.Body)
	s.rec.printf("consumer gets %d %s to %s %s", r.StatusCode, bytes.TrimSpace(t), method, path)
	return r.StatusCode, string(t)
}

// submit submits a job until it is accepted, for up to ten seconds.
func (s *site) submit(entry, prefix, id string, b behaviour, steps ...step) bool {
	s.judge.expect(id, b)
	for range 10 {
		if c, _ := s.call(entry, http.MethodPost, prefix+id, map[string]any{"spec": "x", "phases": steps}); c == http.StatusOK {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// _boot is a settings file like those of a small deployment.
const _boot = `nodeName={name}
role=entry
machineClass=front
serves=front,control
ip={ip}
zone=z-a
region=r
zones.z-a=r
listenAddrs.front={ip}:8624
listenAddrs.ready={ip}:8622
listenAddrs.control={ip}:8623
internalPorts=7060,7075
seeds={ip}:8623
bootstrap=true
inTolerance=false
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
faultTolerance.machines=2
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.partitionMaxMs=5000
bounds.recoveryS=12
bounds.holdMaxMs=10000
bounds.stopTimeoutMs=400
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remoteFactor=2
bounds.checkpointS=1
bounds.restoreMs=250
bounds.noticeMs=4500
bounds.migrateS=1.5
bounds.maintenanceS=2
bounds.fencingEnforced=true
bounds.leaseMs=3000
bounds.thawMs=300
bounds.rateMs=100
bounds.harmMs=4000
orders=call
advice={advice}
platform.address={store}
platform.form=log
platform.writesPerS=600
platform.readsPerS=2000
platform.parts=12
platform.appendMs=2.0
platform.partMbS=20.0
platform.readMbS=80.0
platform.recordBytes=262144
platform.callBytes=2097152
platform.keep_s=300
platform.partMb=200
platform.minTtlMs=1000
cloud.address={cloud}
cloud.ratePerS=64.0
cloud.duties=
cloud.dutyPerS=64.0
`
