package node

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/entry/internal/feed"
	"fescuelanding/entry/internal/logging"
	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

// TestListAfterDroppedHistory has upstreams leave while the list isn't followed: the snapshot that
// is read then replaces what was known, and an upstream with a deleted record has left.
func TestListAfterDroppedHistory(t *testing.T) {
	l := &upstreamList{node: newTestNode(t)}
	up := func(id string) platform.Record {
		return platform.Record{Key: id, Value: []byte(`{"service":"p","address":"a:1","state":"ready","capacity":{"cpu":1}}`)}
	}
	l.apply([]platform.Record{up("u1"), up("u2"), up("u3")}, true)
	assert.Equal(t, len(l.inPool("p")), 3)
	l.apply([]platform.Record{up("u3"), up("u\xff"), {Key: "u2"}}, true)
	assert.Equal(t, len(l.inPool("p")), 1)
	assert.Equal(t, l.inPool("p")[0].ID, "u3")
	l.apply([]platform.Record{{Key: "u3"}}, false)
	assert.Equal(t, len(l.inPool("p")), 0)
}

// TestListPastOddEntries follows a list in which each entry of testdata/oddEntries.txt stands
// between two upstreams, as part of the snapshot and as a new record. Only the two are known in the
// end, as they reported themselves, and the log has a few short lines.
func TestListPastOddEntries(t *testing.T) {
	odd := oddEntries(t)
	for _, snapshot := range []bool{true, false} {
		for i, r := range odd {
			t.Run(fmt.Sprintf("snapshot=%t/%d", snapshot, i+1), func(t *testing.T) {
				var logged bytes.Buffer
				got := follow(t, &logged, snapshot, []platform.Record{report("first"), r, report("second")})
				want := []string{"first 10.0.0.7:80", "second 10.0.0.7:80"}
				if snapshot && r.Key == "first" {
					want = want[1:] // The snapshot has no other record of it.
				}
				assert.DeepEqual(t, got, want)
				assert.Assert(t, logged.Len() < 1000, "%d bytes in the log", logged.Len())
			})
		}
	}
}

// TestOddEntriesAreLoggedNowAndThen has a writer repeat an odd entry.
func TestOddEntriesAreLoggedNowAndThen(t *testing.T) {
	var logged bytes.Buffer
	n := newTestNode(t)
	n.log = logging.New(&logged, "entry")
	l := &upstreamList{node: n}
	for range 1000 {
		l.apply([]platform.Record{{Key: "own", Value: []byte("null")}}, false)
	}
	n.log.Close()
	assert.Equal(t, strings.Count(logged.String(), "\n"), 1)
}

// report returns the report of an upstream.
func report(id string) platform.Record {
	return platform.Record{Key: id, Value: []byte(`{"service":"p","address":"10.0.0.7:80","state":"ready","capacity":{"cpu":1},"born":7}`)}
}

// oddEntries reads testdata/oddEntries.txt. In it, <N*TEXT> stands for N repetitions of TEXT.
func oddEntries(t *testing.T) []platform.Record {
	t.Helper()
	text, err := os.ReadFile("testdata/oddEntries.txt")
	assert.NilError(t, err)
	x := regexp.MustCompile(`<(\d+)\*([^>]*)>`)
	var out []platform.Record
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		q, err := strconv.QuotedPrefix(line)
		assert.NilError(t, err)
		k, err := strconv.Unquote(q)
		assert.NilError(t, err)
		v := x.ReplaceAllStringFunc(line[len(q):], func(s string) string {
			m := x.FindStringSubmatch(s)
			n, _ := strconv.Atoi(m[1]) // The expression matches digits only.
			return strings.Repeat(m[2], n)
		})
		out = append(out, platform.Record{Key: k, Value: []byte(v)})
	}
	return out
}

// follow follows a list with the records and returns the upstreams that are known once all of them
// have been read. The last is read on its own.
func follow(t *testing.T, logged *bytes.Buffer, snapshot bool, records []platform.Record) []string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	known := 1
	if snapshot {
		known = len(records) - 1
	}
	s := httptest.NewServer(&serve.Store{
		Newest: func(string, int) ([]platform.Record, int64) {
			newest := make(map[string]platform.Record)
			for _, r := range records[:known] {
				newest[r.Key] = r
			}
			l := make([]platform.Record, 0, known)
			for _, r := range newest {
				l = append(l, r)
			}
			return l, int64(known)
		},
		Read: func(_ string, _ int, from int64, _ time.Duration) (platform.Batch, serve.Refusal) {
			return platform.Batch{Records: records[from:], End: int64(len(records))}, serve.Refusal{}
		},
	})
	defer s.Close()
	n := newTestNode(t)
	n.log = logging.New(logged, "entry")
	l := &upstreamList{node: n}
	var once sync.Once
	f := feed.Follower{
		Store: platform.NewStore(strings.TrimPrefix(s.URL, "http://"), 2), Name: platform.TopicUpstreams, Poll: true,
		OnRecords: func(r []platform.Record, snapshot bool) {
			l.apply(r, snapshot)
			if !snapshot {
				once.Do(cancel)
			}
		},
	}
	f.Run(ctx)
	n.log.Close()
	var out []string
	for _, u := range l.inPool("p") {
		out = append(out, u.ID+" "+u.Address)
	}
	slices.Sort(out)
	return out
}
