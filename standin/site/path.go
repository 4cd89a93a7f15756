package site

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

// _storePeer is the name of the store as a peer of entries. The others are hosts.
const _storePeer = "store"

// direction is what of the calls on a path a cut affects.
type direction string

const (
	_requests direction = "requests"
	_answers  direction = "answers"
	_both     direction = "both"
)

// path is an entry's way to the store or to an upstream. While its answers are cut, they get
// lost for good. Requests are held up while they are cut, and carried out later, also if the
// entry no longer waits for an answer.
type path struct {
	to http.Handler
	// incarnation returns when the peer's incarnation began. Held requests don't reach a later
	// one. It is nil for a peer without incarnations.
	incarnation func() time.Time
	// address is where the entry reaches the path.
	address string
	stop    <-chan struct{}

	mu sync.Mutex
	// mended is closed when requests aren't cut any longer; nil if they aren't cut.
	mended     chan struct{}
	cutAnswers bool
}

// cut cuts a direction, in addition to one that is cut already.
func (p *path) cut(d direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutAnswers = p.cutAnswers || d != _requests
	if d != _answers && p.mended == nil {
		p.mended = make(chan struct{})
	}
}

// mend ends the cuts of both directions.
func (p *path) mend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutAnswers = false
	if p.mended != nil {
		close(p.mended)
		p.mended = nil
	}
}

func (p *path) losesAnswers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutAnswers
}

// ServeHTTP implements http.Handler.
func (p *path) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !p.hold(r) {
		panic(http.ErrAbortHandler)
	}
	a := &pathAnswer{ResponseWriter: w, path: p}
	p.to.ServeHTTP(a, r)
	if a.isLost() {
		_, _ = io.Copy(io.Discard, r.Body) // The end of the connection is noticed after that.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

// hold holds a request up while requests are cut. It reports whether the request reaches the
// peer.
func (p *path) hold(r *http.Request) bool {
	var began time.Time
	for held := false; ; held = true {
		p.mu.Lock()
		mended := p.mended
		p.mu.Unlock()
		if mended == nil {
			return !held || p.incarnation == nil || p.incarnation().Equal(began)
		}
		if !held {
			if p.incarnation != nil {
				began = p.incarnation()
			}
			b, err := io.ReadAll(r.Body)
			if err != nil {
				return false
			}
			r.Body = io.NopCloser(bytes.NewReader(b))
		}
		select {
		case <-mended:
		case <-p.stop:
			return false
		}
	}
}

// pathAnswer is an answer on a path. It gets lost if answers are cut when it begins.
type pathAnswer struct {
	http.ResponseWriter
	path        *path
	begun, lost bool
}

func (a *pathAnswer) begin() {
	if !a.begun {
		a.begun, a.lost = true, a.path.losesAnswers()
	}
}

// isLost reports whether the answer got lost. The answer ends with it.
func (a *pathAnswer) isLost() bool {
	a.begin()
	return a.lost
}

// WriteHeader implements http.ResponseWriter.
func (a *pathAnswer) WriteHeader(status int) {
	a.begin()
	if !a.lost {
		a.ResponseWriter.WriteHeader(status)
	}
}

// Write implements http.ResponseWriter.
func (a *pathAnswer) Write(b []byte) (int, error) {
	a.begin()
	if a.lost {
		return len(b), nil
	}
	return a.ResponseWriter.Write(b)
}

// openPaths opens an entry's paths to the store and to all upstreams. The caller holds the lock.
func (s *Site) openPaths(entry string) (map[string]*path, error) {
	m := map[string]*path{_storePeer: {stop: s.stop}}
	var own []string
	for name, u := range s.upstreams {
		p := &path{to: u.Handler(entry), incarnation: u.beganAt, stop: s.stop}
		var err error
		if p.address, err = s.listen(p); err != nil {
			return nil, err
		}
		m[name] = p
		own = append(own, `"`+u.address()+`"`, `"`+p.address+`"`)
	}
	p := m[_storePeer]
	p.to = s.store.handlerFor(strings.NewReplacer(own...))
	var err error
	p.address, err = s.listen(p)
	return m, err
}

// handlerFor is Handler for an entry that reaches upstreams at addresses of its own, which
// replace the others in its list of upstreams.
func (s *Store) handlerFor(own *strings.Replacer) http.Handler {
	h := s.Handler()
	replace := func(topic string, l []platform.Record) {
		for i := range l {
			if topic == platform.TopicUpstreams {
				l[i].Value = []byte(own.Replace(string(l[i].Value)))
			}
		}
	}
	h.Read = func(topic string, n int, from int64, wait time.Duration) (platform.Batch, serve.Refusal) {
		b, f := s.read(topic, n, from, wait)
		replace(topic, b.Records)
		return b, f
	}
	h.Newest = func(topic string, n int) ([]platform.Record, int64) {
		l, end := s.Newest(topic, n)
		replace(topic, l)
		return l, end
	}
	return h
}

// cutPath cuts or mends a path, given as ENTRY, optionally PEER, and optionally a direction.
func (s *Site) cutPath(verb string, words []string) error {
	words = append(words, "", "")
	peer := words[1]
	if peer == "" {
		peer = _storePeer
	}
	s.mu.Lock()
	p := s.paths[words[0]][peer]
	s.mu.Unlock()
	if p == nil {
		return fmt.Errorf("no path from %q to %q: %w", words[0], peer, ErrCommand)
	}
	fault := "cut " + words[0] + " " + peer
	if verb == "mend" {
		p.mend()
		s.faults.end(fault)
		return nil
	}
	s.faults.begin(fault)
	switch d := direction(words[2]); d {
	case "":
		p.cut(_answers)
	case _requests, _answers, _both:
		p.cut(d)
	default:
		return fmt.Errorf("direction %q: %w", d, ErrCommand)
	}
	return nil
}
