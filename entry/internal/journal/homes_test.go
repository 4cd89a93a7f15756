package journal

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"fescuelanding/entry/scheduler"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

// homesStore is a partition of the topic of homes. It refuses appends that another one came before.
type homesStore struct {
	records []platform.Record
	appends int
	// before is called before the first append.
	before func()
	// lost is set if the answer to the first append gets lost.
	lost bool
}

func (s *homesStore) append(a serve.Append) (first, end int64, r serve.Refusal) {
	s.appends++
	if s.appends == 1 && s.before != nil {
		s.before()
	}
	end = int64(len(s.records))
	if !a.HasAt || a.At != end {
		return 0, end, serve.Refusal{Status: http.StatusPreconditionFailed}
	}
	s.records = append(s.records, a.Records...)
	if s.appends == 1 && s.lost {
		return 0, 0, serve.Refusal{Status: http.StatusServiceUnavailable}
	}
	return end, int64(len(s.records)), serve.Refusal{}
}

func (s *homesStore) newest(string, int) ([]platform.Record, int64) {
	m := make(map[string]platform.Record)
	for _, r := range s.records {
		m[r.Key] = r
	}
	var l []platform.Record
	for _, r := range m {
		l = append(l, r)
	}
	return l, int64(len(s.records))
}

// find records the home of route q for a pool under a version.
func (s *homesStore) find(t *testing.T, pool string, version int64, queues ...platform.Queue) map[string]*work.Home {
	t.Helper()
	w := httptest.NewServer(&serve.Store{Append: s.append, Newest: s.newest})
	defer w.Close()
	h := Homes{Store: platform.NewStore(strings.TrimPrefix(w.URL, "http://"), 2)}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	m, err := h.Find(ctx, pool, scheduler.FindHomes{Version: version, Queues: queues})
	assert.NilError(t, err)
	return m
}

// TestHomesOfTwoWriters checks that no writer misses the record of another one: a job that was accepted in
// the pool that it names would be accepted again.
func TestHomesOfTwoWriters(t *testing.T) {
	q := platform.Queue{Name: "q", Prefix: "/q/"}
	k := scheduler.RouteKey(q)
	t.Run("writer between read and append", func(t *testing.T) {
		s := &homesStore{}
		s.before = func() {
			b, err := proto.Marshal(&work.Home{Pool: "a", Queue: "q", Version: 3})
			assert.NilError(t, err)
			s.records = append(s.records, platform.Record{Key: k, Value: b})
		}
		h := s.find(t, "b", 5, q)[k]
		assert.Equal(t, h.GetPool(), "b")
		assert.Equal(t, h.GetFormer()[0].GetPool(), "a")
		assert.Equal(t, s.appends, 2)
	})
	t.Run("answer lost", func(t *testing.T) {
		s := &homesStore{lost: true}
		assert.Equal(t, s.find(t, "b", 5, q)[k].GetPool(), "b")
		assert.Equal(t, s.appends, 1)
		assert.Equal(t, s.find(t, "b", 6, q)[k].GetVersion(), int64(5))
		assert.Equal(t, s.appends, 1)
	})
	t.Run("more than one append", func(t *testing.T) {
		s := &homesStore{}
		var queues []platform.Queue
		for i := range 2*_maxHomes + 1 {
			queues = append(queues, platform.Queue{Name: "q", Host: "a.example", Prefix: fmt.Sprintf("/%d/", i)})
		}
		assert.Equal(t, len(s.find(t, "b", 5, queues...)), len(queues))
		assert.Equal(t, s.appends, 3)
		assert.Equal(t, len(s.records), len(queues))
	})
}
