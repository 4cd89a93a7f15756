package feed

import (
	"context"
	"encoding/binary"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

// TestConfirmedAsOfTheRead checks that an answer confirms a topic as of the beginning of its
// read, however long the answer took, and that a failed read confirms nothing.
func TestConfirmedAsOfTheRead(t *testing.T) {
	const delay = 80 * time.Millisecond
	var down atomic.Bool
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case down.Load():
			w.WriteHeader(http.StatusServiceUnavailable)
		case strings.HasSuffix(r.URL.Path, "log-newest"):
			_, _ = w.Write([]byte(`{"items":[],"hasMore":false,"endOffset":4}`))
		default:
			time.Sleep(delay)
			b := make([]byte, 16)
			binary.BigEndian.PutUint64(b, 4)
			_, _ = w.Write(b)
		}
	}))
	defer store.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	confirmed, failed := make(chan time.Time, 100), make(chan error, 100)
	f := Follower{
		Store: platform.NewStore(strings.TrimPrefix(store.URL, "http://"), 2), Name: "keyed.op",
		OnRecords:     func([]platform.Record, bool) {},
		Wait:          func() time.Duration { return delay },
		OnConfirmed:   func(at time.Time) { confirmed <- at },
		OnStoreStatus: func(err error) { failed <- err },
	}
	go f.Run(ctx)
	<-confirmed // the snapshot
	at := <-confirmed
	assert.Assert(t, time.Since(at) >= delay, "confirmed as of the answer")
	down.Store(true)
	assert.Assert(t, <-failed != nil)
	for len(confirmed) > 0 {
		<-confirmed
	}
	select {
	case <-confirmed:
		t.Fatal("a failed read confirmed the topic")
	case <-time.After(2 * _retryPause):
	}
	down.Store(false)
	assert.NilError(t, <-failed)
	<-confirmed
}

// TestSnapshotAfterSilence starts a follower while the store doesn't answer, and checks that it has
// the records soon after the store is back.
func TestSnapshotAfterSilence(t *testing.T) {
	start := time.Now()
	assert.Assert(t, snapshotAfter(t, func() time.Duration {
		if time.Since(start) < 300*time.Millisecond {
			return time.Minute
		}
		return 0
	}) < time.Second)
}

// TestSlowSnapshot follows a topic of a store that takes longer for a snapshot than the first read
// of it may take.
func TestSlowSnapshot(t *testing.T) {
	assert.Assert(t, snapshotAfter(t, func() time.Duration { return time.Second }) < 3*time.Second)
}

// snapshotAfter returns when a follower has received its first records. The store answers a
// call after delay().
func snapshotAfter(t *testing.T, delay func() time.Duration) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	s := &serve.Store{
		Newest: func(string, int) ([]platform.Record, int64) {
			return []platform.Record{{Key: "config", Value: []byte("1")}}, 1
		},
		Intercept: func(http.ResponseWriter, *http.Request) bool {
			select {
			case <-time.After(delay()):
			case <-ctx.Done():
			}
			return false
		},
	}
	w := httptest.NewServer(s)
	defer w.Close()
	defer cancel()
	start, took := time.Now(), time.Duration(0)
	f := Follower{Store: platform.NewStore(w.Listener.Addr().String(), 4), Name: platform.TopicOperator}
	f.OnRecords = func([]platform.Record, bool) {
		took = time.Since(start)
		cancel()
	}
	f.Run(ctx)
	assert.Assert(t, took > 0, "no records")
	return took
}

// TestRecordThatIsCut follows a topic whose next record doesn't fit into an answer. It is read from
// a snapshot instead, and what follows it as before.
func TestRecordThatIsCut(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var cut atomic.Bool
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b := binary.BigEndian.AppendUint64(nil, 2)
		b = binary.BigEndian.AppendUint64(b, 0)
		switch {
		case strings.HasSuffix(r.URL.Path, "log-newest") && cut.Load():
			_, _ = w.Write([]byte(`{"items":[{"key":"long","value":"AA==","offset":1}],"hasMore":false,"endOffset":2}`))
		case strings.HasSuffix(r.URL.Path, "log-newest"):
			_, _ = w.Write([]byte(`{"items":[],"hasMore":false,"endOffset":1}`))
		case r.URL.Query().Get("from") == "1":
			cut.Store(true)
			b = binary.BigEndian.AppendUint32(b, 1<<20)
			_, _ = w.Write(append(b, "\x04long and so on"...))
		default:
			binary.BigEndian.PutUint64(b, 3)
			_, _ = w.Write(append(b, platform.EncodeRecords([]platform.Record{{Key: "next", Value: []byte("1")}})...))
		}
	}))
	defer store.Close()
	var keys []string
	f := Follower{Store: platform.NewStore(strings.TrimPrefix(store.URL, "http://"), 2), Name: "keyed.servers", Poll: true}
	f.OnRecords = func(l []platform.Record, _ bool) {
		for _, r := range l {
			keys = append(keys, r.Key)
		}
		if len(keys) == 2 {
			cancel()
		}
	}
	f.Run(ctx)
	assert.DeepEqual(t, keys, []string{"long", "next"})
}
