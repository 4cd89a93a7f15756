package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Names of header fields of requests and responses. Only the stand-ins use the
// fields that begin with Standin.
const (
	// RequestHeader identifies a request; all of its attempts have the same
	// value.
	RequestHeader = "Standin-Request"
	// RunHeader sets how long the request runs, as a Go duration.
	RunHeader = "Standin-Run"
	// FaultHeader sets the Fault to inject into this request.
	FaultHeader = "Standin-Fault"
	// ExecutorHeader carries the name of the executor that answered.
	ExecutorHeader = "Standin-Executor"
	// SizeHeader carries the size of the response body in bytes.
	SizeHeader = "Standin-Size"

	// The header fields that real upstreams use too. An entry gives each attempt
	// at a request an ID, which the executor must send back. Fescue-End: notRun
	// reports that the request was not run.
	_attemptHeader = "Fescue-Attempt"
	_endHeader     = "Fescue-End"
	_leavingHeader = "Fescue-Leaving"
	_keyHeader     = "Idempotency-Key"

	_slowFactor    = 10 // of a run's duration, for FaultSlow
	_headerTimeout = 5 * time.Second
)

// Executor runs requests. A real executor refuses requests beyond its slots and
// connections beyond its limit. This one accepts them and counts them in its
// Gauge, so that tests can detect that an entry exceeded the limits.
type Executor struct {
	name    string
	runTime time.Duration
	tally   *tally // run counts, shared by the executors of a Server

	mu    sync.Mutex
	rule  faultRule
	last  attempt // the latest attempt begun; FaultLate answers with the one before
	gauge Gauge
}

// attempt is one attempt of an entry to run a request: its ID and the request's
// body. The executor echoes both.
type attempt struct {
	id   string
	body []byte
}

// NewExecutor returns an executor that runs each request for the duration run,
// unless the request sets another with RunHeader.
func NewExecutor(name string, run time.Duration) *Executor {
	return &Executor{name: name, runTime: run, tally: &tally{}}
}

// Serve accepts connections until the listener is closed.
func (e *Executor) Serve(l net.Listener) error {
	s := http.Server{Handler: e, ConnState: e.countConnection, ReadHeaderTimeout: _headerTimeout}
	if err := s.Serve(l); err != nil {
		return fmt.Errorf("serve %s: %w", e.name, err)
	}
	return nil
}

// ServeHTTP implements http.Handler.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := e.nextFault(Fault(r.Header.Get(FaultHeader)))
	if f == FaultLeaving {
		w.Header().Set(_endHeader, "notRun")
		w.Header().Set(_leavingHeader, "true")
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	a := attempt{id: r.Header.Get(_attemptHeader), body: b}
	previous := e.begin(r, a)
	defer e.end()
	e.work(r, f)
	e.answer(w, f, a, previous)
}

// nextFault returns the fault that the request sets, or else the one set by the
// control API.
func (e *Executor) nextFault(requested Fault) Fault {
	if requested != FaultNone {
		return requested
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rule.next()
}

// begin counts the run of an attempt and records the attempt as the latest. It
// returns the attempt recorded before.
func (e *Executor) begin(r *http.Request, a attempt) attempt {
	e.tally.count(r.Header.Get(_keyHeader), r.Header.Get(RequestHeader), a.id)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gauge.begin()
	previous := e.last
	e.last = a
	return previous
}

func (e *Executor) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gauge.Slots--
}

// work blocks for as long as the run takes.
func (e *Executor) work(r *http.Request, f Fault) {
	d := e.runTime
	if t, err := time.ParseDuration(r.Header.Get(RunHeader)); err == nil {
		d = t
	}
	switch f {
	case FaultFail:
		return
	case FaultHang:
		<-r.Context().Done()
		return
	case FaultGhost:
		time.Sleep(d) // The client's disconnect doesn't end the run.
		return
	case FaultSlow:
		d *= _slowFactor
	default:
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
	}
}

func (e *Executor) answer(w http.ResponseWriter, f Fault, a, previous attempt) {
	switch f {
	case FaultFail:
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	case FaultHang, FaultClose:
		panic(http.ErrAbortHandler)
	case FaultCrossed:
		a = attempt{id: "crossed", body: []byte("crossed")}
	case FaultLate:
		a = previous
		if a.id == "" { // There is no previous attempt.
			a.id = "late"
		}
	default:
	}
	w.Header().Set(_attemptHeader, a.id)
	w.Header().Set(ExecutorHeader, e.name)
	w.Header().Set(SizeHeader, strconv.Itoa(len(a.body)))
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.Header().Set("Content-Type", "application/octet-stream")
	if f != FaultHalf {
		_, _ = w.Write(a.body)
		return
	}
	_, _ = w.Write(a.body[:len(a.body)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (e *Executor) countConnection(_ net.Conn, s http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch s {
	case http.StateNew:
		e.gauge.connect()
	case http.StateClosed, http.StateHijacked:
		e.gauge.Connections--
	default:
	}
}

// setFault sets the fault of later requests.
func (e *Executor) setFault(f faultRule) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rule = f
}

func (e *Executor) readGauge() Gauge {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gauge
}
