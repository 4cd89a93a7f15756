package owner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/entry/scheduler"
	"fescuelanding/platform/serve"
)

// adviceService decides about one call at a time, and takes some time for each upstream. It doesn't answer
// the first silent calls.
type adviceService struct {
	each time.Duration

	mu     sync.Mutex
	silent int
	turn   sync.Mutex
}

func (s *adviceService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Workers []string `json:"workers"`
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.silent--
	silent := s.silent >= 0
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	s.turn.Lock()
	defer s.turn.Unlock()
	time.Sleep(time.Duration(len(q.Workers)) * s.each)
	r.Body = io.NopCloser(bytes.NewReader(body))
	(&serve.Advice{ValidMs: 3000, Admit: func(step, u string) (string, bool) { return step + u, true }}).ServeHTTP(w, r)
}

// TestAdviceTakesItsConfiguredTime checks that a call isn't given up before the time that its queue's
// configuration names, and that the wait for other calls doesn't count. Calls of more than 1.5 s were given
// up and repeated for ever.
func TestAdviceTakesItsConfiguredTime(t *testing.T) {
	t.Parallel()
	a := NewAdviser(listen(&adviceService{each: 20 * time.Millisecond}))
	var all sync.WaitGroup
	for _, step := range []string{"A.0.0", "B.0.0", "C.0.0", "D.0.0"} {
		all.Go(func() {
			q := scheduler.Advise{Step: step, Hosts: make([]string, 80), Takes: 1600 * time.Millisecond}
			r, err := a.Advise(context.Background(), q)
			assert.Check(t, err, step)
			assert.Check(t, r.Valid == 3*time.Second, step)
		})
	}
	all.Wait()
}

// TestSilentAdviceIsGivenUp checks that a call without an answer is given up, and doesn't hold up others for
// longer.
func TestSilentAdviceIsGivenUp(t *testing.T) {
	t.Parallel()
	a := NewAdviser(listen(&adviceService{each: time.Millisecond, silent: 1}))
	q := scheduler.Advise{Step: "A.0.0", Hosts: []string{"u1"}, Takes: time.Millisecond}
	_, err := a.Advise(context.Background(), q)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	_, err = a.Advise(context.Background(), q)
	assert.NilError(t, err)
}

// TestAdviceWithoutService checks that calls fail while no service is configured, and succeed once it is.
func TestAdviceWithoutService(t *testing.T) {
	a := NewAdviser("")
	_, err := a.Advise(context.Background(), scheduler.Advise{Step: "A.0.0"})
	assert.ErrorIs(t, err, errNoAdviser)
	a.SetAddress(listen(&adviceService{}))
	_, err = a.Advise(context.Background(), scheduler.Advise{Step: "A.0.0"})
	assert.NilError(t, err)
}
