package journal

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

// TestAppend runs testdata/append.txt against a small store. Each line is an append, with what
// happens to its attempts in order; further ones are answered at once. The golden file has the
// result and how often the store carried the append out.
//
//	ok             carried out and answered
//	slow=D         carried out at once and answered after D
//	late=D         carried out and answered after D
//	lost           carried out, and the connection closed
//	reset          not carried out, and the connection closed
//	silent         not carried out, and never answered
//	503            refused
//	fenced         refused, as a later owner has claimed the journal
func TestAppend(t *testing.T) {
	text, err := os.ReadFile("testdata/append.txt")
	assert.NilError(t, err)
	var out strings.Builder
	for line := range strings.Lines(string(text)) {
		line, _, _ = strings.Cut(line, "#")
		if f := strings.Fields(line); len(f) > 0 {
			fmt.Fprintf(&out, "%-32s %s\n", strings.Join(f, " "), appendOnce(t, f))
		}
	}
	golden.Assert(t, out.String(), "append.golden")
}

// appendOnce appends one record, and another after it.
func appendOnce(t *testing.T, attempts []string) string {
	t.Helper()
	s := &fakeStore{attempts: attempts, done: make(chan struct{})}
	h := &serve.Store{Append: s.append, Intercept: s.intercept}
	w := httptest.NewServer(h)
	defer w.Close()
	defer close(s.done)
	j := New(platform.NewStore(w.Listener.Addr().String(), 4), "pool", 7, 1)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	start := time.Now()
	took, err := j.Append(ctx, []platform.Record{{Key: "first", Value: []byte("1")}})
	r := "done"
	if err != nil {
		r = fmt.Sprintf("refused %d", platform.Status(err))
	}
	assert.Assert(t, took <= time.Since(start))
	_, err = j.Append(ctx, []platform.Record{{Key: "second", Value: []byte("2")}})
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%s, stored %v, next %t", r, s.keys, err == nil)
}

// fakeStore carries out appends in the order of their sequence numbers.
type fakeStore struct {
	mu       sync.Mutex
	attempts []string
	keys     []string
	next     int64
	done     chan struct{}
}

func (s *fakeStore) append(a serve.Append) (first, end int64, r serve.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch q := a.Producer.Sequence; {
	case q < s.next: // A repeat receives the first answer again.
	case q > s.next:
		return 0, 0, serve.Refusal{Status: http.StatusConflict, Reason: "seq", Expected: s.next}
	default:
		s.next++
		for _, x := range a.Records {
			s.keys = append(s.keys, x.Key)
		}
	}
	return 0, 0, serve.Refusal{}
}

// intercept lets the next of the attempts happen.
func (s *fakeStore) intercept(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	kind := "ok"
	if len(s.attempts) > 0 {
		kind, s.attempts = s.attempts[0], s.attempts[1:]
	}
	s.mu.Unlock()
	kind, after, _ := strings.Cut(kind, "=")
	d, _ := time.ParseDuration(after) // Zero if missing.
	store := &serve.Store{Append: s.append}
	switch kind {
	case "ok":
		return false
	case "slow":
		store.ServeHTTP(w, r)
		time.Sleep(d)
	case "late":
		time.Sleep(d)
		store.ServeHTTP(w, r)
	case "lost":
		store.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	case "reset":
		panic(http.ErrAbortHandler)
	case "silent":
		<-s.done
	case "503":
		w.WriteHeader(http.StatusServiceUnavailable)
	case "fenced":
		w.WriteHeader(http.StatusConflict)
		_, _ = w.Write([]byte(`{"reason":"fenced"}`)) // Fails only if the client has disconnected.
	}
	return true
}

// TestLoadTakesLongerThanItsLimit checks that a journal is loaded from a store that takes longer for it than the
// first attempt may. Each attempt was given up after the same time, and the pool had no owner.
func TestLoadTakesLongerThanItsLimit(t *testing.T) {
	t.Parallel()
	const takes = _loadTimeout + 200*time.Millisecond
	h := &serve.Store{
		Newest: func(string, int) ([]platform.Record, int64) { return nil, 0 },
		Intercept: func(_ http.ResponseWriter, r *http.Request) bool {
			select {
			case <-time.After(takes):
			case <-r.Context().Done():
			}
			return false
		},
	}
	w := httptest.NewServer(h)
	defer w.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 4*takes)
	defer cancel()
	_, err := New(platform.NewStore(w.Listener.Addr().String(), 4), "pool", 7, 1).Load(ctx)
	assert.NilError(t, err)
}
