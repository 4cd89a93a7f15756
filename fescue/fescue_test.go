package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"fescuelanding/fleet"
	client "fescuelanding/fleet/platform"
	"fescuelanding/fleet/record"
	"fescuelanding/standin/platform"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"fescue": main})
}

// TestScripts runs the operator sessions in testdata, each against its own
// stand-in for the platform.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: golden.FlagUpdate(),
		Setup:         setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"code":              exitCode,
			"control":           control,
			"registerEntry":     registerEntry,
			"appendCheckpoint":  appendCheckpoint,
			"holdAppend":        func(ts *testscript.TestScript, _ bool, _ []string) { standInOf(ts).holdNext() },
			"waitHeld":          func(ts *testscript.TestScript, _ bool, _ []string) { <-standInOf(ts).held },
			"duplicateAppend":   func(ts *testscript.TestScript, _ bool, _ []string) { standInOf(ts).duplicateNext() },
			"waitStatusRequest": func(ts *testscript.TestScript, _ bool, _ []string) { <-standInOf(ts).statusRequested },
			"releaseAppend":     func(ts *testscript.TestScript, _ bool, _ []string) { close(standInOf(ts).release) },
		},
	})
}

type standInKey struct{}

// standIn is the platform of one script. It can hold the next append until release
// is closed, or perform the next append twice.
type standIn struct {
	platform.Server
	url             string
	mu              sync.Mutex
	holdAppend      bool
	duplicateAppend bool
	held            chan struct{}
	release         chan struct{}
	statusRequested chan struct{}
}

func setup(e *testscript.Env) error {
	s := &standIn{held: make(chan struct{}), release: make(chan struct{}), statusRequested: make(chan struct{}, 1)}
	h := httptest.NewServer(s)
	e.Defer(h.Close)
	s.url = h.URL
	e.Values[standInKey{}] = s
	if err := os.CopyFS(e.WorkDir, os.DirFS(filepath.Join("testdata", "common"))); err != nil {
		return err
	}
	e.Setenv("FESCUE_PLATFORM", h.URL)
	e.Setenv("FESCUE_OPERATOR", "tester")
	for _, name := range []string{"h1", "h2", "h3"} {
		s.SetHost(platform.Host{Name: name, State: "live"}, time.Now())
	}
	return nil
}

func standInOf(ts *testscript.TestScript) *standIn { return ts.Value(standInKey{}).(*standIn) }

func (s *standIn) holdNext() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdAppend = true
}

// duplicateNext makes the next append take effect twice. This reproduces an append
// whose answer was lost and that took effect only after the client had searched for
// it and retried.
func (s *standIn) duplicateNext() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.duplicateAppend = true
}

// ServeHTTP implements http.Handler.
func (s *standIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && strings.HasPrefix(r.URL.Path, "/streams/") {
		s.injectFault(r)
	}
	s.Server.ServeHTTP(w, r)
}

// injectFault holds or duplicates an append if holdNext or duplicateNext requested
// it.
func (s *standIn) injectFault(r *http.Request) {
	s.mu.Lock()
	hold, duplicate := s.holdAppend, s.duplicateAppend
	s.holdAppend, s.duplicateAppend = false, false
	s.mu.Unlock()
	if hold {
		close(s.held)
		<-s.release
	}
	if !duplicate {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	first := r.Clone(r.Context())
	first.Body = io.NopCloser(bytes.NewReader(body))
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.Server.ServeHTTP(httptest.NewRecorder(), first)
}

// exitCode implements the script command code, which runs fescue and compares its
// exit code: code 2 publish fleet.ini.
func exitCode(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	got := 0
	var exit *exec.ExitError
	if err := ts.Exec("fescue", args[1:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// control posts to the stand-in's control API: control faults {"mode":"refuse"}.
func control(ts *testscript.TestScript, _ bool, args []string) {
	a, err := http.Post(standInOf(ts).url+"/control/"+args[0], "application/json", strings.NewReader(args[1]))
	ts.Check(err)
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		ts.Fatalf("status %d", a.StatusCode)
	}
}

// _planner is the name of the entry that returns explanations as the planner.
const _planner = "p"

// registerEntry registers an entry whose status shows an applied offset and,
// optionally, another entry's name: registerEntry a 100 b. Without an offset the
// entry doesn't answer requests. The script command waitStatusRequest waits until
// any entry's status has been requested since the command's last call.
func registerEntry(ts *testscript.TestScript, _ bool, args []string) {
	const name = 2
	s := standInOf(ts)
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/explain" {
			fmt.Fprintf(w, `{"host":%q,"planner":%t,"text":"the planner's explanation"}`, r.FormValue("host"), args[0] == _planner)
			return
		}
		// Without another entry's name the status shows the entry's own name.
		fmt.Fprintf(w, `{"entry":%q,"incarnation":1,"appliedOffset":%s,"ready":true}`,
			append(args, args[0])[name], args[1])
		select {
		case s.statusRequested <- struct{}{}:
		default:
		}
	}))
	if len(args) == 1 {
		h.Close()
	} else {
		ts.Defer(h.Close)
	}
	address := strings.TrimPrefix(h.URL, "http://")
	appendRecord(ts, &record.Record{Body: &record.Record_EntryRegister{EntryRegister: &record.EntryRegister{
		Entry: args[0], Incarnation: 1, DataCentre: "mct1", PeerAddress: address, AdminAddress: address,
	}}})
}

// appendCheckpoint appends a checkpoint of the current state.
func appendCheckpoint(ts *testscript.TestScript, _ bool, _ []string) {
	h, err := load(context.Background(), client.New(standInOf(ts).url))
	ts.Check(err)
	for _, c := range h.state.Checkpoint(fleet.MaxChunk) {
		appendRecord(ts, &record.Record{Body: &record.Record_Checkpoint{Checkpoint: c}})
	}
}

func appendRecord(ts *testscript.TestScript, r *record.Record) {
	c := client.New(standInOf(ts).url)
	h, err := load(context.Background(), c)
	ts.Check(err)
	r.Id, r.Writer = fmt.Appendf(nil, "%016d", h.state.Offset()), "script"
	r.Basis = h.state.Basis(r)
	data, err := proto.Marshal(r)
	ts.Check(err)
	_, err = c.Append(context.Background(), _stream, data)
	ts.Check(err)
}

func TestCodeOf(t *testing.T) {
	for want, err := range map[code]error{
		_done:        nil,
		_superseded:  fmt.Errorf("publish: %w", &supersededError{}),
		_unavailable: fmt.Errorf("read: %w", client.ErrStale),
		_unknown:     fmt.Errorf("%w: %w", errOutcomeUnread, client.ErrUnavailable),
		_stragglers:  errors.Join(nil, &stragglerError{}),
		_usage:       errors.New("anything else"),
	} {
		assert.Equal(t, codeOf(err), want, "%v", err)
	}
}
