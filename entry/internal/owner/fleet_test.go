package owner

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

// _fleetEnv has the number of upstreams if the process is to run the platform instead of the tests.
const _fleetEnv = "OWNER_TEST_FLEET"

func TestMain(m *testing.M) {
	if n, err := strconv.Atoi(os.Getenv(_fleetEnv)); err == nil {
		runFleet(n)
		return
	}
	os.Exit(m.Run())
}

// runFleet runs a store and upstreams. It writes their addresses as a line, and a line with what they
// have got for each line that it reads.
func runFleet(hosts int) {
	born := time.Now().UnixMilli()
	f := fleetInfo{Store: listen(newFleetStore()), Born: born}
	var n fleetCount
	for i := range hosts {
		u := &upstream{born: born, count: &n, runs: make(map[string]time.Time), wake: make(chan struct{})}
		f.Upstreams = append(f.Upstreams, listen(u.handler(fmt.Sprintf("i-%04d", i))))
	}
	w := json.NewEncoder(os.Stdout)
	_ = w.Encode(f) // The reader sees what is missing.
	for r := bufio.NewScanner(os.Stdin); r.Scan(); {
		_ = w.Encode(fleetCount{atomic.LoadInt64(&n.Starts), atomic.LoadInt64(&n.Polls)})
	}
}

func listen(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }() // It ends with the process.
	return l.Addr().String()
}

// newFleetStore returns a store that takes all appends and knows no topic.
func newFleetStore() http.Handler {
	var end atomic.Int64
	s := &serve.Store{Append: func(a serve.Append) (int64, int64, serve.Refusal) {
		time.Sleep(4 * time.Millisecond)
		n := end.Add(int64(len(a.Records)))
		return n - int64(len(a.Records)), n, serve.Refusal{}
	}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.ServeHTTP(w, r)
	})
}

// upstream runs each task for _turnTask.
type upstream struct {
	born  int64
	count *fleetCount

	mu    sync.Mutex
	wake  chan struct{}
	runs  map[string]time.Time
	ended []platform.Ended
	last  int64
}

func (u *upstream) clock() int64 { return time.Now().UnixMilli() - u.born }

func (u *upstream) handler(id string) http.Handler {
	return &serve.Upstream{
		ID: func() string { return id }, Clock: u.clock, Start: u.start, Hold: u.hold,
		Stop: func(string, int64, int64) serve.Refusal { return serve.Refusal{} },
		Pace: func(string, int64, int64, int) serve.Refusal { return serve.Refusal{} },
	}
}

func (u *upstream) start(s platform.Start) serve.Refusal {
	atomic.AddInt64(&u.count.Starts, 1)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs[s.Task] = time.Now()
	// Tasks of a step don't end at the same time.
	d := _turnTask/2 + _turnTask*time.Duration(len(u.runs)%8)/8
	time.AfterFunc(d, func() { u.end(s.Task, s.Run) })
	return serve.Refusal{}
}

func (u *upstream) end(task string, run int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.runs, task)
	u.last++
	u.ended = append(u.ended, platform.Ended{Number: u.last, Task: task, Run: run, End: platform.EndDone})
	close(u.wake)
	u.wake = make(chan struct{})
}

func (u *upstream) hold(h platform.Hold) (platform.UpstreamStatus, serve.Refusal) {
	atomic.AddInt64(&u.count.Polls, 1)
	for end := time.After(h.Wait); ; {
		u.mu.Lock()
		for len(u.ended) > 0 && u.ended[0].Number <= h.Acked {
			u.ended = u.ended[1:]
		}
		l, wake := u.status(), u.wake
		u.mu.Unlock()
		if len(l.Ended) > 0 || h.Wait <= 0 {
			return l, serve.Refusal{}
		}
		select {
		case <-wake:
		case <-end:
			h.Wait = 0
		}
	}
}

func (u *upstream) status() platform.UpstreamStatus {
	l := platform.UpstreamStatus{ClockMs: u.clock(), StartUnixMs: u.born}
	l.Ended = append(l.Ended, u.ended...)
	for t, at := range u.runs {
		l.Running = append(l.Running, platform.Running{Task: t, Run: 1, Percent: int(time.Since(at) * 100 / (2 * _turnTask)), Gauge: 2200})
	}
	return l
}
