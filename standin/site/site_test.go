package site_test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"fescuelanding/standin/site"
)

// output collects the output of several entries.
type output struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.Write(b)
}

// String returns the output so far.
func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.b.String()
}

// TestSessions plays each session of testdata with entry processes and a platform of
// its own, and compares the results with its golden file.
func TestSessions(t *testing.T) { playAll(t, "") }

// TestFormerOwnerBesideItsSuccessor plays sessions in which an owner that is cut off from the
// store goes on giving orders beside its successor.
func TestFormerOwnerBesideItsSuccessor(t *testing.T) { playAll(t, "formerOwner") }

// TestCancelledTasksEnd plays sessions in which jobs are cancelled while an owner, or its way to an
// upstream, is lost.
func TestCancelledTasksEnd(t *testing.T) { playAll(t, "cancelled") }

// playAll plays the sessions of a directory within testdata.
func playAll(t *testing.T, dir string) {
	entry := filepath.Join(t.TempDir(), "entry")
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", entry, "fescuelanding/entry").CombinedOutput()
	assert.NilError(t, err, string(out))
	files, err := filepath.Glob(filepath.Join("testdata", dir, "*.txt"))
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".txt")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(f)
			assert.NilError(t, err)
			var log output
			var got bytes.Buffer
			t.Cleanup(func() {
				if t.Failed() {
					t.Logf("entries printed:\n%s", log.String())
				}
			})
			s := site.New(entry, t.TempDir(), &log)
			assert.NilError(t, s.Start())
			err = s.Play(string(text), &got)
			s.Stop()
			assert.NilError(t, err)
			golden.Assert(t, got.String(), filepath.Join(dir, name+".golden"))
		})
	}
}
