package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	holdMax   = 10 * time.Second
	ackTime   = 4 * time.Second
	finish    = 14 * time.Second
)

// world is a small deployment: a store, a cloud, executors, and entries as processes.
type world struct {
	began     time.Time
	store     *store
	storeAddr string
	cloudAddr string
	executors []*executor
	entries   []*entry
	dir       string
	http      *http.Client
	version   int64
	port      int // counts the ports tried

	mu    sync.Mutex
	log   io.WriteCloser
	jobs  map[string]*job
	order []string
	// starts and ends are those that the executors have seen, in order.
	starts []event
	ends   []event
	quiet  map[string]bool // jobs whose runs aren't recorded one by one
	due    map[string]bool // the machines of the wave
}

type event struct {
	at   time.Time
	x    *executor
	kind string // of the executor at that time
	task string
	run  int64
	how  string
	ackd bool
}

// job is what the client knows of a job.
type job struct {
	id, host, prefix string
	w                work
	items            int
	code             int // the answer to the submission
	acceptedAt       time.Time
	cancelAt         time.Time
	cancelCode       int
	cancelled        time.Time // when the cancelling was acknowledged
}

func newWorld(dir string) *world {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	w := &world{
		began: time.Now(), store: newStore(), dir: tmp, log: f, jobs: map[string]*job{}, quiet: map[string]bool{}, due: map[string]bool{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}},
	}
	w.storeAddr = w.serve(w.store)
	w.cloudAddr = w.serve(http.HandlerFunc(w.serveCloud))
	return w
}

func (w *world) record(format string, a ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.line(format, a...)
}

// line is record for callers that hold the lock.
func (w *world) line(format string, a ...any) {
	fmt.Fprintf(w.log, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, a...))
}

func (w *world) fatal(format string, a ...any) {
	w.record("can't run: "+format, a...)
	w.close()
	os.Exit(2)
}

func (w *world) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fatal("listen: %v", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// freeAddr returns a free port of a loopback address, below the range of outgoing connections.
func (w *world) freeAddr(ip string) string {
	for range 1000 {
		w.port++
		a := fmt.Sprintf("%s:%d", ip, 10000+(os.Getpid()*61+w.port)%20000)
		if l, err := net.Listen("tcp", a); err == nil {
			l.Close()
			return a
		}
	}
	w.fatal("no free port")
	return ""
}

// serveCloud lists the machines and carries out upkeeps. Moves, which a deployment with one pool
// doesn't need, are refused as busy.
func (w *world) serveCloud(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/machines" {
		var q struct{ Machine string }
		_ = json.NewDecoder(r.Body).Decode(&q)
		for _, x := range w.executors {
			if r.URL.Path == "/api/machine-upkeep" && x.machine == q.Machine && w.due[q.Machine] && x.upkeep() {
				reply(rw, 200, map[string]any{})
				return
			}
		}
		reply(rw, 409, map[string]any{"reason": "busy"})
		return
	}
	l := []map[string]any{}
	for _, x := range w.executors {
		x.mu.Lock()
		state, id := "up", x.id
		if !x.up {
			state, id = "down", ""
		}
		if x.inUpkeep {
			state = "upkeep"
		}
		l = append(l, map[string]any{
			"machine": x.machine, "pool": x.service, "state": state, "zone": "muscat-a", "labels": []string{x.kind, x.rack},
			"capacity": map[string]any{"cpu": x.cpu, "memMb": 32768, "gpu": 0}, "id": id,
		})
		x.mu.Unlock()
	}
	reply(rw, 200, map[string]any{"machines": l, "nextToken": nil})
}

// declareWave asks for the upkeep of machines, one at a time, as the operator does.
func (w *world) declareWave(limit time.Duration, machines ...string) {
	for _, m := range machines {
		w.due[m] = true
	}
	b, _ := json.Marshal(map[string]any{"wave": 1, "machines": machines, "deadlineS": limit.Seconds(), "maxCount": 1})
	w.store.put("keyed.op", "wave/1", b)
	w.record("operator: wave 1 of %v within %.0f s acknowledged", machines, limit.Seconds())
}

// route is a queue of the configuration.
type route struct {
	name, prefix, service string
	attempts              int
}

const host = "pule25.example"

// configure writes a configuration, as the operator does.
func (w *world) configure(routes []route, services ...string) {
	w.version += 3
	rs, ss := []map[string]any{}, []map[string]any{}
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "host": host, "pathPrefix": r.prefix, "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 600,
			"priority": 0, "service": r.service, "maxAttempts": r.attempts, "stretch": 1.6,
		})
	}
	for _, s := range services {
		ss = append(ss, map[string]any{
			"name": s, "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": false, "admissionCheck": true, "standby": false,
		})
	}
	b, _ := json.Marshal(map[string]any{
		"version": w.version, "routes": rs, "services": ss,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	w.store.put("keyed.op", "config", b)
	names := []string{}
	for _, r := range routes {
		names = append(names, r.prefix)
	}
	w.record("operator: configuration %d with the routes %s acknowledged", w.version, strings.Join(names, " "))
}

// entry is an entry as a process.
type entry struct {
	w     *world
	name  string
	front string
	ready string
	conf  string
	cmd   *exec.Cmd
	done  chan struct{}
}

func (w *world) startEntries(n int) {
	for i := range n {
		ip := fmt.Sprintf("127.0.0.%d", 11+i)
		e := &entry{w: w, name: fmt.Sprintf("front-muscat-a-%d", i+1), front: w.freeAddr(ip), ready: w.freeAddr(ip)}
		internal := w.freeAddr(ip)
		_, port, _ := net.SplitHostPort(internal)
		e.conf = filepath.Join(w.dir, e.name+".conf")
		t := strings.NewReplacer("NAME", e.name, "IP", ip, "FRONT", e.front, "READY", e.ready, "CONTROL", w.freeAddr(ip), "PORT", port,
			"STORE", w.storeAddr, "CLOUD", w.cloudAddr).Replace(settings)
		if err := os.WriteFile(e.conf, []byte(t), 0o600); err != nil {
			w.fatal("%v", err)
		}
		w.entries = append(w.entries, e)
		e.start()
	}
	for _, e := range w.entries {
		e.awaitReady()
	}
}

// settings are those of an example of the deploy page.
const settings = `nodeName=NAME
role=entry
machineClass=front
serves=front,control
ip=IP
zone=muscat-a
region=muscat
zones.muscat-a=muscat
listenAddrs.front=FRONT
listenAddrs.ready=READY
listenAddrs.control=CONTROL
internalPorts=PORT,PORT
seeds=CONTROL
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
contracts=base,drain,config,cost,recover,sched,platform,upkeep,sharing
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
platform.address=STORE
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
cloud.address=CLOUD
cloud.ratePerS=64.0
cloud.duties=
cloud.dutyPerS=64.0
`

func (e *entry) start() {
	root := os.Getenv("ROOT")
	e.cmd = exec.Command(filepath.Join(root, "target/entry"), "platform")
	e.cmd.Dir = root
	e.cmd.Env = append(os.Environ(), "FESCUELANDING_BOOT="+e.conf)
	f, err := os.OpenFile(filepath.Join(e.w.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		e.w.fatal("%v", err)
	}
	e.cmd.Stdout, e.cmd.Stderr = f, f
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		e.w.fatal("start an entry: %v", err)
	}
	e.w.record("entry %s starts", e.name)
	c, done := e.cmd, make(chan struct{})
	e.done = done
	go func() {
		err := c.Wait()
		e.w.record("entry %s ended: %v", e.name, err)
		close(done)
	}()
}

func (e *entry) awaitReady() {
	for range 300 {
		if r, err := e.w.http.Get("http://" + e.ready + "/api/ready"); err == nil {
			r.Body.Close()
			if r.StatusCode == 200 {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	e.w.fatal("entry %s isn't ready", e.name)
}

// stop sends SIGTERM, and SIGKILL after graceS.
func (e *entry) stop() {
	e.w.record("SIGTERM to entry %s", e.name)
	_ = e.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-e.done:
	case <-time.After(6 * time.Second):
		_ = e.cmd.Process.Kill()
		<-e.done
	}
}

func (w *world) close() {
	for _, e := range w.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Kill()
			<-e.done
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
	w.log.Close()
}

// call sends a request of a consumer. Its code is 0 if there was no answer in time.
func (w *world) call(n int, method, prefix, id string, body any) (int, string) {
	e := w.entries[n%len(w.entries)]
	var rd io.Reader
	if body != nil {
		b, _ := json.Marshal(body)
		rd = bytes.NewReader(b)
	}
	q, err := http.NewRequest(method, "http://"+e.front+prefix+id, rd)
	if err != nil {
		return 0, ""
	}
	q.Host = host
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Deadline-Ms", "3000")
	c := *w.http
	c.Timeout = 3 * time.Second
	r, err := c.Do(q)
	if err != nil {
		return 0, ""
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, ""
	}
	return r.StatusCode, string(b)
}

// submit hands in a job. After no answer, a 502 or a 504 the same job is sent again, and after a 429
// or a 503 up to retries times.
func (w *world) submit(n int, prefix, id string, k work, items int, body any, retries int) *job {
	j := &job{id: id, prefix: prefix, w: k, items: items}
	w.mu.Lock()
	w.jobs[id] = j
	w.order = append(w.order, id)
	w.mu.Unlock()
	for try := range retries + 1 {
		code, _ := w.call(n+try, "POST", prefix, id, body)
		w.mu.Lock()
		j.code = code
		if code >= 200 && code < 300 {
			j.acceptedAt = time.Now()
		}
		w.line("client: POST %s%s: %d", prefix, id, code)
		w.mu.Unlock()
		if code >= 200 && code < 300 || code == 404 || code == 400 || code == 413 {
			break
		}
		time.Sleep(time.Second)
	}
	return j
}

func (w *world) cancel(n int, j *job) {
	w.mu.Lock()
	j.cancelAt = time.Now()
	w.mu.Unlock()
	for try := range 2 {
		code, _ := w.call(n+try, "DELETE", j.prefix, j.id, nil)
		w.mu.Lock()
		j.cancelCode = code
		w.line("client: DELETE %s%s: %d", j.prefix, j.id, code)
		ok := code/100 == 2 || code == 410
		if ok {
			j.cancelled = time.Now()
		}
		w.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// state asks for the state of a job.
func (w *world) state(n int, j *job) (int, string) {
	code, b := w.call(n, "GET", j.prefix, j.id, nil)
	var s struct{ State string }
	_ = json.Unmarshal([]byte(b), &s)
	w.record("client: GET %s%s: %d %s", j.prefix, j.id, code, s.State)
	return code, s.State
}

func (w *world) workOf(task, spec string) work {
	w.mu.Lock()
	defer w.mu.Unlock()
	if j := w.jobs[jobOf(task)]; j != nil {
		return j.w
	}
	return work{ms: 100}
}

func (w *world) started(x *executor, r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, event{at: time.Now(), x: x, kind: x.kind, task: r.task, run: r.run})
	if !w.quiet[jobOf(r.task)] {
		w.line("executor %s (kind %s) starts %s", x.id, x.kind, r)
	}
}

func (w *world) ran(x *executor, r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends = append(w.ends, event{at: time.Now(), x: x, kind: x.kind, task: r.task, run: r.run, how: how})
	if !w.quiet[jobOf(r.task)] {
		w.line("executor %s: %s ends %s", x.id, r, how)
	}
}

// acked notes that an end has been taken note of.
func (w *world) acked(e end) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.ends {
		if v := &w.ends[len(w.ends)-1-i]; v.task == e.task && v.run == e.run && v.how == e.how {
			v.ackd = true
			return
		}
	}
}

// verdict writes the result and ends the program.
func (w *world) verdict(broken []string) {
	sort.Strings(broken)
	for _, b := range broken {
		w.record("BROKEN: %s", b)
	}
	if len(broken) == 0 {
		w.record("the rule held")
	}
	w.close()
	if len(broken) > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}
