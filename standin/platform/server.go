package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	_maxRecordBytes = 1 << 20
	_appendRate     = 500 // per second
	_appendBurst    = 100
	_maxReadWait    = time.Minute
	_maxReadRecords = 1000
)

// Server is the stand-in platform. Its zero value is an empty platform without
// faults that accepts 500 appends per second.
type Server struct {
	once sync.Once
	mux  http.ServeMux

	mu           sync.Mutex
	streams      map[string]*stream
	retention    Retention
	faults       map[string]*Fault
	faultChanged chan struct{}
	limiter      *rate.Limiter
	hosts        hostList
	leases       map[string]lease
	journal      journal // file copy of the streams, if Open was called
	appends      int
	reads        int
}

// viaKey is the context key of a call's via name. A client that calls
// /via/NAME/... instead of /... has the via name NAME; see Fault.Via.
type viaKey struct{}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.once.Do(s.routes)
	http.MaxBytesHandler(&s.mux, _maxRecordBytes).ServeHTTP(w, withVia(r))
}

func (s *Server) routes() {
	s.mux.HandleFunc("POST /streams/{stream}/records", s.injectFault(s.serveAppend))
	s.mux.HandleFunc("GET /streams/{stream}/records", s.injectFault(s.serveRead))
	s.mux.HandleFunc("GET /hosts", s.injectFault(s.serveHosts))
	s.mux.HandleFunc("POST /tasks/{task}/lease", s.injectFault(s.serveLease))
	s.mux.HandleFunc("POST /control/faults", s.controlFaults)
	s.mux.HandleFunc("POST /control/retention", s.controlRetention)
	s.mux.HandleFunc("POST /control/appendRate", s.controlAppendRate)
	s.mux.HandleFunc("POST /control/hosts", s.controlHosts)
	s.mux.HandleFunc("POST /control/lag", s.controlLag)
	s.mux.HandleFunc("GET /control/stats", s.controlStats)
}

// call is a request whose body has been read, with the fault that applies to it.
type call struct {
	*http.Request
	body    []byte
	via     string
	fault   Fault
	changed <-chan struct{} // closed once any fault changes
}

// injectFault applies the current fault to a call before serve handles it. It
// reads the whole body first, because net/http detects a client's disconnect only
// after that.
func (s *Server) injectFault(serve func(http.ResponseWriter, call)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			answerReadError(w, err)
			return
		}
		via, _ := r.Context().Value(viaKey{}).(string)
		f, changed := s.fault(via)
		switch f.Mode {
		case ModeRefuse:
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		case ModeHang:
			hang(r, changed)
		case ModeSlow:
			time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
		case ModeNone, ModeStale:
		}
		serve(w, call{Request: r, body: b, via: via, fault: f, changed: changed})
	}
}

// hang blocks until the client disconnects or any fault changes, and then
// aborts the connection without an answer.
func hang(r *http.Request, changed <-chan struct{}) {
	select {
	case <-r.Context().Done():
	case <-changed:
	}
	panic(http.ErrAbortHandler)
}

func (s *Server) serveAppend(w http.ResponseWriter, c call) {
	o, err := s.append(c.PathValue("stream"), c.body, time.Now())
	switch {
	case errors.Is(err, errRate):
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case s.loseAnswer(c.via):
		// The record is appended, but the client does not learn its offset.
		panic(http.ErrAbortHandler)
	default:
		answer(w, appendAnswer{Offset: o})
	}
}

var errRate = errors.New("too many appends")

func (s *Server) append(name string, data []byte, now time.Time) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limiter == nil {
		s.limiter = rate.NewLimiter(_appendRate, _appendBurst)
	}
	if !s.limiter.AllowN(now, 1) {
		return 0, errRate
	}
	if err := s.journal.write(name, data, now); err != nil {
		return 0, fmt.Errorf("write journal: %w", err)
	}
	s.appends++
	return s.stream(name).append(data, now), nil
}

// stream returns the named stream and creates it on first use.
func (s *Server) stream(name string) *stream {
	t, ok := s.streams[name]
	if !ok {
		if s.streams == nil {
			s.streams = make(map[string]*stream)
		}
		t = &stream{}
		s.streams[name] = t
	}
	return t
}

func (s *Server) serveRead(w http.ResponseWriter, c call) {
	q, err := parseRead(c.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	end := time.NewTimer(q.wait)
	defer end.Stop()
	for {
		a, appended := s.read(c, q, time.Now())
		// If the record at offset q.from has expired, waiting can't bring it back.
		// The client detects the gap because First in the answer is greater than
		// q.from.
		if q.wait == 0 || len(a.Records) > 0 || q.from < a.First {
			answer(w, a)
			return
		}
		select {
		case <-appended:
		case <-end.C:
			q.wait = 0
		case <-c.changed:
			// The fault may be an outage. An empty answer now would wrongly show
			// the client that it has read up to the head.
			panic(http.ErrAbortHandler)
		case <-c.Context().Done():
			return
		}
	}
}

// read returns the current answer to a read, and a channel that is closed at
// the next append to the stream.
func (s *Server) read(c call, q readQuery, now time.Time) (readAnswer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	n := c.PathValue("stream")
	t := s.stream(n)
	t.expire(s.retention, now)
	head := t.head()
	if c.fault.Mode == ModeStale {
		// Records appended after the fault was set stay hidden.
		head = min(head, c.fault.heads[n])
	}
	a := readAnswer{First: t.first(), Head: head, Records: t.read(q.from, head, q.limit)}
	return a, t.wait()
}

// withVia removes a /via/NAME prefix from the request's path and puts the via
// name into the request's context.
func withVia(r *http.Request) *http.Request {
	p, ok := strings.CutPrefix(r.URL.Path, "/via/")
	if !ok {
		return r
	}
	via, rest, _ := strings.Cut(p, "/")
	r = r.WithContext(contextWithVia(r.Context(), via))
	r.URL.Path = "/" + rest
	r.URL.RawPath = ""
	return r
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func answerReadError(w http.ResponseWriter, err error) {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	http.Error(w, err.Error(), http.StatusBadRequest)
}
