package site

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

// Store stands in for the platform's store.
type Store struct {
	mu     sync.Mutex
	wake   chan struct{}
	topics map[string]*partition
	groups map[string]*group
	// down answers every call of an entry with this status; zero serves.
	down int
	// loseAppends carries out that many appends of the journal and answers none.
	loseAppends int
	// held answers no append to the journal until it is released.
	hold chan struct{}
}

// partition of a topic.
type partition struct {
	records   []platform.Record
	first     int64
	newest    map[string]platform.Record
	producers map[string]*producer
}

// producer is what the store knows of one.
type producer struct {
	epoch int64
	next  int64
	begun bool
}

// group of members that share partitions.
type group struct {
	generation int64
	members    []string
	seen       map[string]time.Time
	ttl        map[string]time.Duration
	// holds is who holds each partition; it changes hands once the former
	// holder has heard of it.
	holds map[int]string
}

// _partitions of each topic.
const _partitions = 12

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{wake: make(chan struct{}), topics: make(map[string]*partition), groups: make(map[string]*group)}
}

// Handler returns the store's interface.
func (s *Store) Handler() http.Handler {
	return &serve.Store{
		Append: s.Append, Read: s.read, Newest: s.Newest, Leave: s.Leave,
		Join:      func(m serve.Member) platform.Membership { return s.Join(time.Now(), m) },
		Owners:    func(g string) map[int]string { return s.Owners(time.Now(), g) },
		Intercept: s.before,
	}
}

// before plays outages and lost answers.
func (s *Store) before(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	down, hold := s.down, s.hold
	lose := s.loseAppends > 0 && r.Method == http.MethodPost && r.URL.Query().Get("topic") == "keyed.jobs" &&
		r.ContentLength > 0
	if lose {
		s.loseAppends--
	}
	s.mu.Unlock()
	if down != 0 {
		w.WriteHeader(down)
		return true
	}
	if hold != nil && r.URL.Query().Get("topic") == "keyed.jobs" && r.ContentLength > 0 {
		<-hold
	}
	if lose {
		h := &serve.Store{Append: s.Append}
		h.ServeHTTP(discard{}, r)
		panic(http.ErrAbortHandler)
	}
	return false
}

// discard swallows an answer.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

// Put writes a record, as the operator and upstreams do.
func (s *Store) Put(topic string, r platform.Record) {
	s.Append(serve.Append{Topic: topic, Records: []platform.Record{r}})
}

// Get returns the newest value of a key.
func (s *Store) Get(topic, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.part(topic, 0).newest[key]
	return r.Value, ok
}

// Compact drops the history of all topics but the newest of each key.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.topics {
		p.first += int64(len(p.records))
		p.records = nil
	}
}

// Rebalance deals all partitions anew at once.
func (s *Store) Rebalance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		if len(g.members) > 1 {
			g.members = append(g.members[1:], g.members[0])
		}
		g.generation++
		g.holds = make(map[int]string)
	}
}

func (s *Store) part(topic string, n int) *partition {
	k := topic + "/" + string(rune('a'+n))
	p := s.topics[k]
	if p == nil {
		p = &partition{newest: make(map[string]platform.Record), producers: make(map[string]*producer)}
		s.topics[k] = p
	}
	return p
}

// Append adds records to a partition, and returns the offset of the first and the
// end after them.
func (s *Store) Append(a serve.Append) (first, end int64, f serve.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(a.Topic, a.Part)
	if a.Producer.Name != "" {
		if f, repeat := p.check(a); f.Status != 0 || repeat {
			return 0, p.end(), f
		}
	}
	first = p.end()
	for _, r := range a.Records {
		r.Offset = p.end()
		p.records = append(p.records, r)
		p.newest[r.Key] = r
		if len(r.Value) == 0 {
			delete(p.newest, r.Key)
		}
	}
	close(s.wake)
	s.wake = make(chan struct{})
	return first, p.end(), serve.Refusal{}
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// check applies a producer's epoch and sequence.
func (p *partition) check(a serve.Append) (f serve.Refusal, repeat bool) {
	w := p.producers[a.Producer.Name]
	if w == nil {
		w = &producer{}
		p.producers[a.Producer.Name] = w
	}
	switch {
	case a.Producer.Epoch < w.epoch:
		return serve.Refusal{Status: http.StatusConflict, Reason: "fenced"}, false
	case a.Producer.Epoch > w.epoch:
		*w = producer{epoch: a.Producer.Epoch}
	}
	if len(a.Records) == 0 {
		return serve.Refusal{}, false
	}
	if w.begun && a.Producer.Sequence == w.next-1 {
		return serve.Refusal{}, true
	}
	if w.begun && a.Producer.Sequence != w.next {
		return serve.Refusal{Status: http.StatusConflict, Reason: "seq", Expected: w.next}, false
	}
	w.begun, w.next = true, a.Producer.Sequence+1
	return serve.Refusal{}, false
}

func (s *Store) read(topic string, n int, from int64, wait time.Duration) (platform.Batch, serve.Refusal) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		s.mu.Lock()
		p, wake := s.part(topic, n), s.wake
		if from < p.first {
			s.mu.Unlock()
			return platform.Batch{}, serve.Refusal{Status: http.StatusGone, First: p.first}
		}
		l := slices.Clone(p.records[min(from-p.first, int64(len(p.records))):])
		end := p.end()
		s.mu.Unlock()
		if len(l) > 0 || wait <= 0 {
			return platform.Batch{Records: l, End: end}, serve.Refusal{}
		}
		select {
		case <-wake:
		case <-t.C:
			wait = 0
		}
	}
}

// Newest returns the newest record of each key, and the end.
func (s *Store) Newest(topic string, n int) ([]platform.Record, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, n)
	var l []platform.Record
	for _, k := range slices.Sorted(maps.Keys(p.newest)) {
		l = append(l, p.newest[k])
	}
	return l, p.end()
}

// Join enters a group, or stays in it.
func (s *Store) Join(now time.Time, m serve.Member) platform.Membership {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[m.Group]
	if g == nil {
		g = &group{
			seen: make(map[string]time.Time), ttl: make(map[string]time.Duration),
			holds: make(map[int]string),
		}
		s.groups[m.Group] = g
	}
	g.expire(now)
	if !slices.Contains(g.members, m.Name) {
		g.members = append(g.members, m.Name)
		g.generation++
	}
	g.seen[m.Name], g.ttl[m.Name] = now, m.TTL
	out := platform.Membership{Generation: g.generation}
	for p := range _partitions {
		to := g.members[p%len(g.members)]
		from := g.holds[p]
		// It is free once its former holder has heard of the change.
		if from == "" || !slices.Contains(g.members, from) || m.Generation >= g.generation && from == m.Name && to != m.Name {
			g.holds[p], from = to, to
		}
		if to == m.Name && from == m.Name {
			out.Partitions = append(out.Partitions, p)
		}
	}
	return out
}

// expire drops members that have been silent for long.
func (g *group) expire(now time.Time) {
	for _, m := range slices.Clone(g.members) {
		if now.Sub(g.seen[m]) > g.ttl[m] {
			g.remove(m)
		}
	}
}

func (g *group) remove(m string) {
	i := slices.Index(g.members, m)
	if i < 0 {
		return
	}
	g.members = slices.Delete(g.members, i, i+1)
	g.generation++
	for p, o := range g.holds {
		if o == m {
			delete(g.holds, p)
		}
	}
}

// Leave ends a membership.
func (s *Store) Leave(m serve.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[m.Group]; g != nil {
		g.remove(m.Name)
	}
}

// Owners returns the member that holds each partition.
func (s *Store) Owners(now time.Time, name string) map[int]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[int]string)
	if g := s.groups[name]; g != nil {
		g.expire(now)
		for p, m := range g.holds {
			out[p] = m
		}
	}
	return out
}
