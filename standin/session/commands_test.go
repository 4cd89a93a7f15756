package session

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"fescuelanding/standin/internal/process"
	"fescuelanding/standin/platform"
	"fescuelanding/standin/upstream"
)

const (
	_waitLimit = 20 * time.Second
	_stopLimit = 20 * time.Second
	_poll      = 20 * time.Millisecond
	_idleFor   = time.Second
	_logTail   = 4000 // bytes
)

// runningKey is the key of a script's processes in testscript's Env.Values.
type runningKey struct{}

// running holds the processes of a script by name.
type running struct {
	processes map[string]*process.Process
}

// end kills the processes that are still running, and logs their output if the
// script failed.
func (r *running) end(e *testscript.Env) {
	for _, p := range r.processes {
		p.Kill()
	}
	t, ok := e.T().(interface{ Failed() bool })
	if !ok || !t.Failed() {
		return
	}
	for n := range r.processes {
		b, _ := os.ReadFile(filepath.Join(e.WorkDir, n+".log"))
		e.T().Log(fmt.Sprintf("log of %s:\n%s", n, b[max(0, len(b)-_logTail):]))
	}
}

func processes(ts *testscript.TestScript) map[string]*process.Process {
	return ts.Value(runningKey{}).(*running).processes
}

// withoutNeg adapts a command that doesn't support negation with "!".
func withoutNeg(f func(*testscript.TestScript, []string)) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("this command does not support !")
		}
		f(ts, args)
	}
}

// start starts a program as a named process, with its output appended to
// NAME.log.
func start(ts *testscript.TestScript, name, program string, args ...string) {
	f, err := os.OpenFile(ts.MkAbs(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, _fileMode)
	ts.Check(err)
	defer f.Close()
	p, err := process.Start(name, filepath.Join(_bin, program), args, f)
	ts.Check(err)
	processes(ts)[name] = p
}

func startStandins(ts *testscript.TestScript, args []string) {
	if len(args) == 0 {
		args = []string{"platform", "upstream"}
	}
	for _, n := range args {
		switch n {
		case "platform":
			a := []string{"platform", "--listen", ts.Getenv("PLATFORM"), "--journal", ts.MkAbs("journal")}
			for _, h := range []string{"host1", "host2", "host3", "host4", "a", "b", "c"} {
				a = append(a, "--host", h)
			}
			start(ts, n, "standin", a...)
			wait(ts, "http://"+ts.Getenv("PLATFORM")+"/control/stats")
		case "upstream":
			a := []string{"upstream", "--control", ts.Getenv("JUDGE")}
			for _, h := range []string{"1", "2", "3", "4"} {
				a = append(a, "--executor", "host"+h+"="+ts.Getenv("HOST"+h))
			}
			start(ts, n, "standin", a...)
			wait(ts, "http://"+ts.Getenv("JUDGE")+"/control/stats")
		default:
			ts.Fatalf("unknown stand-in %q: want platform or upstream", n)
		}
	}
}

func startEntries(ts *testscript.TestScript, args []string) {
	for _, n := range args {
		start(ts, n, "entry", "run", "--settings", ts.MkAbs(n+".ini"))
	}
}

func wait(ts *testscript.TestScript, url string) {
	ctx, cancel := context.WithTimeout(context.Background(), _waitLimit)
	defer cancel()
	ts.Check(process.WaitOK(ctx, url))
}

func waitReady(ts *testscript.TestScript, args []string) {
	for _, n := range args {
		wait(ts, "http://"+ts.Getenv("ADMIN_"+n)+"/ready")
	}
}

func waitUnready(ts *testscript.TestScript, args []string) {
	for _, n := range args {
		until(ts, n+" is not ready", func() bool {
			a, err := http.Get("http://" + ts.Getenv("ADMIN_"+n) + "/ready")
			if err != nil {
				return false
			}
			return a.Body.Close() == nil && a.StatusCode == http.StatusServiceUnavailable
		})
	}
}

// waitInForce waits until entries have applied all records that the log holds
// when the command starts.
func waitInForce(ts *testscript.TestScript, args []string) {
	var s platform.Stats
	ts.Check(get("http://"+ts.Getenv("PLATFORM")+"/control/stats", &s))
	for _, n := range args {
		until(ts, fmt.Sprintf("%s has applied offset %d", n, s.Heads["fleet"]), func() bool {
			var v struct {
				AppliedOffset uint64 `json:"appliedOffset"`
			}
			err := get("http://"+ts.Getenv("ADMIN_"+n)+"/status", &v)
			return err == nil && v.AppliedOffset >= s.Heads["fleet"]
		})
	}
}

// findOwner waits until a pool has one owner. It sets the variables OWNER, OTHER1
// and OTHER2 to the names of the entry that owns the pool and of the two others,
// and CALLER_owner, CALLER_other1 and CALLER_other2 to their addresses for
// callers.
func findOwner(ts *testscript.TestScript, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: owner POOL")
	}
	var owner string
	until(ts, "pool "+args[0]+" has one owner", func() bool {
		var l []string
		for _, n := range _entries {
			if owns(ts, n, args[0]) {
				l = append(l, n)
			}
		}
		owner = strings.Join(l, " ")
		return len(l) == 1
	})
	ts.Setenv("OWNER", owner)
	ts.Setenv("CALLER_owner", ts.Getenv("CALLER_"+owner))
	i := 0
	for _, n := range _entries {
		if n != owner {
			i++
			ts.Setenv(fmt.Sprintf("OTHER%d", i), n)
			ts.Setenv(fmt.Sprintf("CALLER_other%d", i), ts.Getenv("CALLER_"+n))
		}
	}
}

// owns reports whether an entry's status lists a pool as brokered by it.
func owns(ts *testscript.TestScript, entry, pool string) bool {
	var v struct {
		Pools []struct {
			Pool string `json:"pool"`
		} `json:"pools"`
	}
	if err := get("http://"+ts.Getenv("ADMIN_"+entry)+"/status", &v); err != nil {
		return false
	}
	for _, p := range v.Pools {
		if p.Pool == pool {
			return true
		}
	}
	return false
}

// until polls until ok returns true, and fails the script after _waitLimit.
func until(ts *testscript.TestScript, what string, ok func() bool) {
	for end := time.Now().Add(_waitLimit); time.Now().Before(end); time.Sleep(_poll) {
		if ok() {
			return
		}
	}
	ts.Fatalf("timed out after %s waiting for: %s", _waitLimit, what)
}

func sendSignal(ts *testscript.TestScript, args []string) {
	signals := map[string]syscall.Signal{
		"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
	}
	if len(args) != 2 || signals[args[0]] == 0 || processes(ts)[args[1]] == nil {
		ts.Fatalf("usage: signal KILL|TERM|STOP|CONT NAME")
	}
	p := processes(ts)[args[1]]
	if args[0] == "KILL" {
		p.Kill()
		return
	}
	ts.Check(p.Signal(signals[args[0]]))
}

func shutDown(ts *testscript.TestScript, args []string) {
	for _, n := range args {
		p := processes(ts)[n]
		if p == nil {
			ts.Fatalf("no process %q was started", n)
		}
		ts.Check(p.Stop(_stopLimit))
	}
}

func post(ts *testscript.TestScript, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: post URL JSON")
	}
	a, err := http.Post(args[0], "application/json", strings.NewReader(args[1]))
	ts.Check(err)
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	ts.Check(err)
	if a.StatusCode != http.StatusOK {
		ts.Fatalf("post %s: %s: %s", args[0], a.Status, b)
	}
}

// printViolations prints how often the upstreams counted a violated guarantee.
func printViolations(ts *testscript.TestScript, _ []string) {
	var s upstream.Stats
	ts.Check(get("http://"+ts.Getenv("JUDGE")+"/control/stats", &s))
	_, err := fmt.Fprintf(ts.Stdout(), "overSlots %d\noverConnections %d\nkeysRunTwice %d\n",
		s.Total.OverSlots, s.Total.OverConnections, s.KeysRunTwice)
	ts.Check(err)
}

// runs returns the number of runs that a host has begun.
func runs(ts *testscript.TestScript, host string) int {
	var s upstream.Stats
	ts.Check(get("http://"+ts.Getenv("JUDGE")+"/control/stats", &s))
	g, ok := s.Executors[host]
	if !ok {
		ts.Fatalf("the upstream stand-ins have no host %q", host)
	}
	return g.Runs
}

func waitIdle(ts *testscript.TestScript, args []string) {
	last, since := runs(ts, args[0]), time.Now()
	until(ts, args[0]+" is idle", func() bool {
		if n := runs(ts, args[0]); n != last {
			last, since = n, time.Now()
		}
		return time.Since(since) > _idleFor
	})
}

func waitBusy(ts *testscript.TestScript, args []string) {
	first := runs(ts, args[0])
	until(ts, args[0]+" is busy", func() bool { return runs(ts, args[0]) > first })
}

// get decodes the JSON answer of a URL into v.
func get(url string, v any) error {
	a, err := http.Get(url)
	if err != nil {
		return fmt.Errorf("get: %w", err)
	}
	defer a.Body.Close()
	if err := json.NewDecoder(a.Body).Decode(v); err != nil {
		return fmt.Errorf("decode %s: %w", url, err)
	}
	return nil
}
