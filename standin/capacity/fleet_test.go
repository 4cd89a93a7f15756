package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/standin/internal/process"
)

const (
	_readyLimit = 60 * time.Second
	_fileMode   = 0o600
)

// _bin is the directory of the programs, which are built once.
var _bin string

func TestMain(m *testing.M) {
	d, err := os.MkdirTemp("", "capacity")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	_bin = d
	c := m.Run()
	_ = os.RemoveAll(d)
	os.Exit(c)
}

// build compiles the programs on first use.
func build(b *testing.B) {
	b.Helper()
	if _, err := os.Stat(filepath.Join(_bin, "entry")); err == nil {
		return
	}
	c := exec.Command("go", "build", "-buildvcs=false", "-o", _bin+string(filepath.Separator),
		"fescuelanding/entry", "fescuelanding/standin/cmd/standin")
	out, err := c.CombinedOutput()
	assert.NilError(b, err, string(out))
}

// processes are the processes of a benchmark: a platform stand-in and entries.
type processes struct {
	dir      string
	platform string
	callers  []string
	admins   []string
	entries  []*process.Process
}

// start starts a platform stand-in and entries, which are killed when the
// benchmark ends.
func start(b *testing.B, entries int) *processes {
	b.Helper()
	build(b)
	const ports = 3
	a, err := process.FreeAddresses(1 + ports*entries)
	assert.NilError(b, err)
	r := &processes{dir: b.TempDir(), platform: "http://" + a[0]}
	r.run(b, "platform", "standin", "platform", "--listen", a[0])
	waitOK(b, r.platform+"/control/stats")
	for i := range entries {
		p := a[1+ports*i:]
		n := fmt.Sprintf("entry%d", i+1)
		path := filepath.Join(r.dir, n+".ini")
		assert.NilError(b, os.WriteFile(path, r.settings(n, p), _fileMode))
		r.callers, r.admins = append(r.callers, "http://"+p[0]), append(r.admins, "http://"+p[2])
		r.entries = append(r.entries, r.run(b, n, "entry", "run", "--settings", path))
	}
	return r
}

func (r *processes) settings(name string, p []string) []byte {
	var s strings.Builder
	fmt.Fprintf(&s, "[entry]\nname = %s\ndataCentre = dc0\n", name)
	fmt.Fprintf(&s, "[listen]\ncaller = %s\npeer = %s\nadmin = %s\n", p[0], p[1], p[2])
	fmt.Fprintf(&s, "[platform]\nurl = %s\n", r.platform)
	return []byte(s.String())
}

func (r *processes) run(b *testing.B, name, program string, args ...string) *process.Process {
	b.Helper()
	f, err := os.Create(filepath.Join(r.dir, name+".log"))
	assert.NilError(b, err)
	defer f.Close()
	p, err := process.Start(name, filepath.Join(_bin, program), args, f)
	assert.NilError(b, err)
	b.Cleanup(p.Kill)
	return p
}

func waitOK(b *testing.B, url string) {
	b.Helper()
	ctx, cancel := context.WithTimeout(b.Context(), _readyLimit)
	defer cancel()
	assert.NilError(b, process.WaitOK(ctx, url))
}

// ready waits until every entry is ready for requests.
func (r *processes) ready(b *testing.B) {
	b.Helper()
	for _, a := range r.admins {
		waitOK(b, a+"/ready")
	}
}

// applied waits until every entry has applied the log up to an offset.
func (r *processes) applied(b *testing.B, offset uint64) {
	b.Helper()
	for _, a := range r.admins {
		for end := time.Now().Add(_readyLimit); appliedOffset(b, a) < offset; time.Sleep(time.Millisecond) {
			assert.Assert(b, time.Now().Before(end), "%s did not apply the log in time", a)
		}
	}
}

// appliedOffset returns the offset up to which an entry has applied the log.
func appliedOffset(b *testing.B, admin string) uint64 {
	b.Helper()
	a, err := http.Get(admin + "/status")
	assert.NilError(b, err)
	defer a.Body.Close()
	var s struct {
		AppliedOffset uint64 `json:"appliedOffset"`
	}
	assert.NilError(b, json.NewDecoder(a.Body).Decode(&s))
	return s.AppliedOffset
}
