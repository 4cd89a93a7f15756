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
