package site_test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"fescuelanding/standin/site"
)

// TestSessions plays the sessions of testdata with entries as processes, each
// against a platform of its own.
func TestSessions(t *testing.T) {
	entry := filepath.Join(t.TempDir(), "entry")
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", entry, "fescuelanding/entry").CombinedOutput()
	assert.NilError(t, err, string(out))
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".txt")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			text, err := os.ReadFile(f)
			assert.NilError(t, err)
			var log, got bytes.Buffer
			s := site.New(entry, t.TempDir(), &log)
			assert.NilError(t, s.Start())
			err = s.Play(string(text), &got)
			s.Stop()
			golden.Assert(t, got.String(), name+".golden")
			if t.Failed() || err != nil {
				t.Logf("entries printed:\n%s", log.String())
			}
			assert.NilError(t, err)
		})
	}
}
