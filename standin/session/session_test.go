package session

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"fescuelanding/standin/internal/process"
)

const _fileMode = 0o600

var _update = flag.Bool("update", false, "rewrite the golden parts of the scripts")

// _entries are the names of the entries.
var _entries = []string{"a", "b", "c"}

// _bin is the directory of the programs, which are built once for all scripts.
var _bin string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	d, err := os.MkdirTemp("", "session")
	if err != nil {
		fmt.Fprintln(os.Stderr, "make directory:", err)
		return 1
	}
	defer os.RemoveAll(d)
	_bin = d
	c := exec.Command("go", "build", "-buildvcs=false", "-o", d+string(filepath.Separator),
		"fescuelanding/entry", "fescuelanding/fescue", "fescuelanding/standin/cmd/standin")
	if out, err := c.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build programs: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

func TestFirst(t *testing.T)     { session(t, "first") }
func TestPublish(t *testing.T)   { session(t, "publish") }
func TestDrain(t *testing.T)     { session(t, "drain") }
func TestOutage(t *testing.T)    { session(t, "outage") }
func TestRolling(t *testing.T)   { session(t, "rolling") }
func TestHandover(t *testing.T)  { session(t, "handover") }
func TestKill(t *testing.T)      { session(t, "kill") }
func TestFreeze(t *testing.T)    { session(t, "freeze") }
func TestStraggler(t *testing.T) { session(t, "straggler") }
func TestKeys(t *testing.T)      { session(t, "keys") }
func TestSlots(t *testing.T)     { session(t, "slots") }
func TestFaults(t *testing.T)    { session(t, "faults") }
func TestOperators(t *testing.T) { session(t, "operators") }
func TestLost(t *testing.T)      { session(t, "lost") }
func TestLeaving(t *testing.T)   { session(t, "leaving") }
func TestPaused(t *testing.T)    { session(t, "paused") }
func TestFresh(t *testing.T)     { session(t, "fresh") }
func TestMove(t *testing.T)      { session(t, "move") }

// session runs one script. Each script has a test of its own, so that
// KNOWN-RED.txt can name it.
func session(t *testing.T, name string) {
	t.Parallel()
	testscript.Run(t, testscript.Params{
		Files:               []string{filepath.Join("testdata", name+".txtar")},
		UpdateScripts:       *_update,
		RequireExplicitExec: true,
		Setup:               setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"standins":   withoutNeg(startStandins),
			"entry":      withoutNeg(startEntries),
			"ready":      withoutNeg(waitReady),
			"unready":    withoutNeg(waitUnready),
			"inForce":    withoutNeg(waitInForce),
			"signal":     withoutNeg(sendSignal),
			"shutDown":   withoutNeg(shutDown),
			"post":       withoutNeg(post),
			"violations": withoutNeg(printViolations),
			"owner":      withoutNeg(findOwner),
			"idle":       withoutNeg(waitIdle),
			"busy":       withoutNeg(waitBusy),
			"refused":    withoutNeg(checkRefused),
			"relays":     withoutNeg(startRelays),
			"connected":  withoutNeg(waitConnected),
			"runs":       withoutNeg(printRuns),
		},
	})
}

// setup sets the address variables of a script, expands them in the files of the
// folder common, and ends the script's processes when the script is done.
func setup(e *testscript.Env) error {
	names := []string{"PLATFORM", "JUDGE", "HOST1", "HOST2", "HOST3", "HOST4"}
	for _, n := range _entries {
		names = append(names, "CALLER_"+n, "PEER_"+n, "ADMIN_"+n, "RELAY_"+n, "CONTROL_"+n)
	}
	l, err := process.FreeAddresses(len(names))
	if err != nil {
		return fmt.Errorf("find addresses: %w", err)
	}
	for i, n := range names {
		e.Setenv(n, l[i])
	}
	e.Setenv("FESCUE_PLATFORM", "http://"+e.Getenv("PLATFORM"))
	e.Setenv("PATH", _bin+string(filepath.ListSeparator)+e.Getenv("PATH"))
	files, err := filepath.Glob("common/*.ini")
	if err != nil {
		return fmt.Errorf("find common files: %w", err)
	}
	for _, f := range files {
		if err := copyExpanded(e, f); err != nil {
			return err
		}
	}
	r := &running{processes: make(map[string]*process.Process)}
	e.Values[runningKey{}] = r
	e.Defer(func() { r.end(e) })
	return nil
}

// copyExpanded copies a file to the script's directory and expands the
// variables in it.
func copyExpanded(e *testscript.Env, file string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read common file: %w", err)
	}
	to := filepath.Join(e.WorkDir, filepath.Base(file))
	if err := os.WriteFile(to, []byte(os.Expand(string(b), e.Getenv)), _fileMode); err != nil {
		return fmt.Errorf("write common file: %w", err)
	}
	return nil
}
