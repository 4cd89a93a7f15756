package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeat  = 1500 * time.Millisecond
	partitions = 12
	host       = "desk.example"
	prefix     = "/jobs/"
	budget     = 3 * time.Second
	// rackSize is the number of executors in a rack.
	rackSize = 3
)

// runRecord is a run as its executor saw it.
type runRecord struct {
	executor string
	boot     int
	task     string
	number   int64
	token    int64
	began    time.Duration
	// over is zero while the run goes on.
	over  time.Duration
	how   string
	noted time.Duration
}

// entry is an entry process.
type entry struct {
	name, boot   string
	front, ready string
	peer         string
	process      *exec.Cmd
	done         chan struct{}
}

// site is a small deployment: entries as processes, and stand-ins of all else.
type site struct {
	service string
	dir     string
	begun   time.Time
	store   *store
	cloudAt string
	storeAt string

	mu        sync.Mutex
	record    *os.File
	entries   []*entry
	executors []*executor
	// work is what work items do, by their names.
	work map[string]work
	runs []*runRecord
	late lateStart
}

func newSite(dir, record string) *site {
	f, err := os.Create(record)
	check(err)
	s := &site{
		service: "desk", dir: dir, begun: time.Now(), store: newStore(partitions), record: f,
		work: make(map[string]work),
	}
	s.cloudAt, s.storeAt = listen(http.HandlerFunc(s.serveCloud)), listen(s.store)
	return s
}

func listen(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// at returns the time since the beginning.
func (s *site) at() time.Duration { return time.Since(s.begun).Truncate(time.Millisecond) }

func (s *site) log(format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f  %s\n", s.at().Seconds(), fmt.Sprintf(format, a...))
}

// workOf returns what a work item does.
func (s *site) workOf(task string) work {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k, ok := s.work[task]; ok {
		return k
	}
	return work{takes: time.Second}
}

func (s *site) began(e *executor, boot int, r *run) {
	s.log("run %s/%d begins on %s, boot %d, token %d", r.task, r.number, e.id, boot, r.token)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, &runRecord{executor: e.id, boot: boot, task: r.task, number: r.number, token: r.token, began: s.at()})
}

func (s *site) find(e *executor, boot int, task string, number int64) *runRecord {
	for _, r := range s.runs {
		if r.executor == e.id && r.boot == boot && r.task == task && r.number == number {
			return r
		}
	}
	return &runRecord{}
}

func (s *site) ended(e *executor, boot int, task string, number int64, how string) {
	s.log("run %s/%d on %s ends %s", task, number, e.id, how)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.find(e, boot, task, number)
	r.over, r.how = s.at(), how
}

// noted records that an end was taken note of.
func (s *site) noted(e *executor, x ended) {
	s.log("end %s of %s/%d on %s is acknowledged", x.how, x.task, x.run, e.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.find(e, e.boot, x.task, x.run).noted = s.at()
}

// runsOf returns copies of the runs of a task, in the order of their beginnings.
func (s *site) runsOf(task string) []runRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []runRecord
	for _, r := range s.runs {
		if r.task == task {
			l = append(l, *r)
		}
	}
	return l
}

// addExecutor boots an executor on a machine of its own.
func (s *site) addExecutor(n int, labels ...string) *executor {
	e := &executor{
		site: s, id: fmt.Sprintf("i-%08x", 0x5ae2318f+n*77), machine: fmt.Sprintf("machine-%d", n), address: "127.0.0.1:0",
		labels: append(labels, fmt.Sprintf("r1-%d", 1+n/rackSize)),
	}
	s.mu.Lock()
	s.executors = append(s.executors, e)
	s.mu.Unlock()
	e.start()
	return e
}

func (s *site) serveCloud(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		answer(w, http.StatusConflict, object{"reason": "busy"})
		return
	}
	s.mu.Lock()
	l := append([]*executor(nil), s.executors...)
	s.mu.Unlock()
	machines := []object{}
	for _, e := range l {
		e.mu.Lock()
		m := object{
			"machine": e.machine, "pool": s.service, "state": "up", "zone": "zone-a", "labels": e.labels,
			"capacity": object{"cpu": 16000, "memMb": 32768, "gpu": 0}, "id": e.id,
		}
		if !e.up {
			m["state"], m["id"] = "down", ""
		}
		e.mu.Unlock()
		machines = append(machines, m)
	}
	answer(w, http.StatusOK, object{"machines": machines, "nextToken": ""})
}

// configure publishes the configuration, with one route.
func (s *site) configure() {
	b, _ := json.Marshal(object{
		"version": 3,
		"routes": []object{{
			"name": "jobs", "host": host, "pathPrefix": prefix, "service": s.service, "timeoutMs": 3000, "targetLatencyMs": 600,
			"priority": 0, "maxAttempts": 3, "stretch": 1.6,
		}},
		"services": []object{{"name": s.service, "admissionCheck": true}},
		"limits":   object{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 30000},
	})
	s.store.put("keyed.op", "config", b)
	s.log("operator publishes the route %s", prefix)
}

// freeAddress returns a loopback address whose port is free, from a range below that of outgoing connections.
func freeAddress() string {
	for {
		l, err := net.Listen("tcp", "127.0.0.1:"+strconv.Itoa(12000+rand.IntN(18000)))
		if err != nil {
			continue
		}
		l.Close()
		return l.Addr().String()
	}
}

func port(address string) string {
	_, p, _ := net.SplitHostPort(address)
	return p
}

// addEntry starts an entry.
func (s *site) addEntry(name string) {
	e := &entry{name: name, boot: filepath.Join(s.dir, name+".conf")}
	s.entries = append(s.entries, e)
	s.configureEntry(e)
	s.launch(e)
}

// configureEntry writes the boot file of an entry, with ports that are free.
func (s *site) configureEntry(e *entry) {
	e.front, e.ready, e.peer = freeAddress(), freeAddress(), freeAddress()
	lines := []string{
		"nodeName=" + e.name, "role=entry", "machineClass=front", "serves=front,control", "ip=127.0.0.1", "zone=zone-a", "region=here",
		"zones.zone-a=here", "listenAddrs.front=" + e.front, "listenAddrs.ready=" + e.ready, "listenAddrs.control=" + freeAddress(),
		"internalPorts=" + port(e.peer) + "," + port(e.peer), "seeds=", "bootstrap=true", "inTolerance=false",
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=vip", "heartbeatMs=" + strconv.FormatInt(heartbeat.Milliseconds(), 10),
		"contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
		"faultTolerance.machines=2", "faultTolerance.zones=0", "faultTolerance.regions=0",
		"bounds.seedLagS=3", "bounds.reuseAfterS=2", "bounds.contactMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4",
		"bounds.drainMs=2000", "bounds.graceS=6", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250",
		"bounds.partitionMaxMs=5000", "bounds.recoveryS=12", "bounds.holdMaxMs=10000", "bounds.stopTimeoutMs=400",
		"bounds.gangTimeoutMs=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.early_ms=250", "bounds.finish_s=14",
		"bounds.status_s=120", "bounds.remoteFactor=2", "bounds.checkpointS=1", "bounds.restoreMs=250", "bounds.noticeMs=4500",
		"bounds.migrateS=1.5", "bounds.maintenanceS=2", "bounds.fencingEnforced=true", "bounds.leaseMs=3000", "bounds.thawMs=300",
		"bounds.rateMs=100", "bounds.harmMs=4000", "orders=call", "advice=",
		"platform.address=" + s.storeAt, "platform.form=log", "platform.writesPerS=600", "platform.readsPerS=2000",
		"platform.parts=" + strconv.Itoa(partitions), "platform.appendMs=2.0", "platform.partMbS=20.0", "platform.readMbS=80.0",
		"platform.recordBytes=262144", "platform.callBytes=2097152", "platform.keep_s=300", "platform.partMb=200", "platform.minTtlMs=1000",
		"cloud.address=" + s.cloudAt, "cloud.ratePerS=64.0", "cloud.duties=", "cloud.dutyPerS=64.0",
	}
	check(os.WriteFile(e.boot, []byte(strings.Join(lines, "\n")+"\n"), 0o600))
}

// launch starts the process of an entry with the command of the deploy file.
func (s *site) launch(e *entry) {
	c := exec.Command("target/entry", "platform")
	c.Env = []string{"FESCUELANDING_BOOT=" + e.boot, "PATH=" + os.Getenv("PATH"), "HOME=" + s.dir}
	f, err := os.OpenFile(filepath.Join(s.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	c.Stdout, c.Stderr = f, f
	check(c.Start())
	e.process, e.done = c, make(chan struct{})
	done := e.done
	go func() {
		_ = c.Wait()
		f.Close()
		close(done)
	}()
	s.log("entry %s starts", e.name)
}

// signal sends a signal to the process of an entry.
func (s *site) signal(e *entry, v syscall.Signal) {
	s.log("%v is sent to entry %s", v, e.name)
	_ = e.process.Process.Signal(v)
}

// stop ends all processes.
func (s *site) stop() {
	for _, e := range s.entries {
		if e.process != nil {
			_ = e.process.Process.Kill()
			<-e.done
		}
	}
	if d := os.Getenv("KEEP_LOGS"); d != "" {
		for _, e := range s.entries {
			if b, err := os.ReadFile(filepath.Join(s.dir, e.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(d, e.name+".log"), b, 0o600)
			}
		}
	}
	s.record.Close()
	_ = os.RemoveAll(s.dir)
}

var client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// send sends a consumer's request to an entry. The status is zero if there is no answer.
func (s *site) send(e *entry, method, path, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+e.front+path, bytes.NewReader([]byte(body)))
	check(err)
	r.Host = host
	r.Header.Set("Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	if body != "" {
		r.Header.Set("Content-Type", "application/json")
	}
	a, err := client.Do(r)
	if err != nil {
		s.log("%s %s at %s: no answer", method, path, e.name)
		return 0, ""
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, ""
	}
	s.log("%s %s at %s: %d %s", method, path, e.name, a.StatusCode, strings.TrimSpace(string(b)))
	return a.StatusCode, string(b)
}

// submit hands a job in, at one entry after the other, until it is accepted.
func (s *site) submit(id, body string) time.Duration {
	for range 40 {
		for _, e := range s.entries {
			if c, _ := s.send(e, http.MethodPost, prefix+id, body); c/100 == 2 {
				return s.at()
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	check(fmt.Errorf("job %s isn't accepted", id))
	return 0
}

// state asks for the state of a job until an entry knows it.
func (s *site) state(path string) string {
	for range 8 {
		for _, e := range s.entries {
			if c, b := s.send(e, http.MethodGet, path, ""); c == http.StatusOK {
				var v struct{ State string }
				_ = json.Unmarshal([]byte(b), &v)
				return v.State
			}
		}
		time.Sleep(250 * time.Millisecond)
	}
	return ""
}

// awaitReady waits until all entries are ready and all partitions have holders.
func (s *site) awaitReady() {
	for range 400 {
		n := 0
		for _, e := range s.entries {
			select {
			case <-e.done:
				// Another process took one of its ports.
				s.configureEntry(e)
				s.launch(e)
			default:
			}
			a, err := client.Get("http://" + e.ready + "/api/ready")
			if err == nil {
				if a.StatusCode == http.StatusOK {
					n++
				}
				a.Body.Close()
			}
		}
		if n == len(s.entries) && s.owner() != nil {
			time.Sleep(1500 * time.Millisecond)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	check(fmt.Errorf("entries aren't ready"))
}

// owner returns the entry that holds the partition of the service's pool, as the store says.
func (s *site) owner() *entry {
	m := s.store.holderOf("entries", 1)
	for _, e := range s.entries {
		if strings.HasPrefix(m, e.peer+"/") {
			return e
		}
	}
	return nil
}

// awaitRun waits until a task has a run that goes on.
func (s *site) awaitRun(task string, limit time.Duration) (runRecord, bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		for _, r := range s.runsOf(task) {
			if r.over == 0 {
				return r, true
			}
		}
	}
	return runRecord{}, false
}

// begin starts some executors and entries.
func (s *site) begin(executors, entries int) {
	for n := range executors {
		s.addExecutor(n, "a")
	}
	s.configure()
	for n := range entries {
		s.addEntry(fmt.Sprintf("e%d", n+1))
	}
	s.awaitReady()
}
