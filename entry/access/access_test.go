package access

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"fescuelanding/platform"
)

// TestScripts runs the scripts of testdata. Each line that isn't a setting prints the decision
// about it.
//
//	workspace NAME KEY ...    adds a workspace of the next configuration
//	configure [anonymous]     applies it, without keys if anonymous
//	bound MS                  a withdrawn key has to stop working within MS
//	confirmed MS              the configuration was the newest at MS
//	at MS [suspended=MS]      sets the time; the monotonic clock lacks the suspension
//	call [KEY] [anonymous]    a call, to an anonymous queue if so
//	fresh                     whether the entry should get new callers
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".txt")
		t.Run(name, func(t *testing.T) { golden.Assert(t, runScript(t, f), name+".golden") })
	}
}

func runScript(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	// start has a monotonic time, which now lacks after a suspension.
	start := time.Now()
	var out strings.Builder
	var c platform.Config
	var g Guard
	now := start
	ms := func(s string) time.Duration {
		n, err := strconv.Atoi(s)
		assert.NilError(t, err)
		return time.Duration(n) * time.Millisecond
	}
	sc := bufio.NewScanner(strings.NewReader(string(text)))
	for sc.Scan() {
		line, _, _ := strings.Cut(sc.Text(), "#")
		w := strings.Fields(line)
		if len(w) == 0 {
			continue
		}
		fmt.Fprintf(&out, "> %s\n", strings.TrimSpace(line))
		switch w[0] {
		case "workspace":
			x := platform.Workspace{Name: w[1]}
			for _, k := range w[2:] {
				x.Keys = append(x.Keys, platform.HashKey(k))
			}
			c.Workspaces = append(c.Workspaces, x)
		case "configure":
			c.KeysRequired = len(w) == 1
			g.Table, c = NewTable(c), platform.Config{}
		case "bound":
			g.Bound = ms(w[1])
		case "confirmed":
			g.ConfirmedAt = start.Add(ms(w[1]))
		case "at":
			now = start.Add(ms(w[1]))
			if len(w) > 2 {
				// Without a monotonic time only the wall clock tells how much has passed.
				now = now.Round(0).Add(ms(strings.TrimPrefix(w[2], "suspended=")))
			}
		case "call":
			h, q := http.Header{}, platform.Queue{}
			for _, k := range w[1:] {
				if k == "anonymous" {
					q.Anonymous = true
					continue
				}
				h.Set("Authorization", "Bearer "+k)
			}
			k, given := platform.CallerKey(h)
			d := g.Decide(now, q, k, given)
			fmt.Fprintf(&out, "  %s %s\n", [...]string{"admitted", "denied", "unconfirmed"}[d.Verdict], d.Workspace)
		case "fresh":
			fmt.Fprintf(&out, "  %v\n", g.Fresh(now))
		default:
			t.Fatalf("unknown line %q", line)
		}
	}
	return out.String()
}

// BenchmarkDecide measures the check of a call's key.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{20, 100_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			c := platform.Config{KeysRequired: true}
			for i := range n {
				c.Workspaces = append(c.Workspaces, platform.Workspace{
					Name: strconv.Itoa(i), Keys: []platform.KeyHash{platform.HashKey("key" + strconv.Itoa(i))},
				})
			}
			now := time.Now()
			g := Guard{Table: NewTable(c), ConfirmedAt: now, Bound: time.Minute}
			h := http.Header{"Authorization": {"Bearer key7"}}
			b.ReportAllocs()
			for b.Loop() {
				k, given := platform.CallerKey(h)
				if d := g.Decide(now, platform.Queue{}, k, given); d.Workspace != "7" {
					b.Fatal(d)
				}
			}
		})
	}
}
