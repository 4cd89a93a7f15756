package site

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"fescuelanding/platform"
	"fescuelanding/platform/serve"
)

// Store emulates the platform's store: topics with records, and groups whose members
// share partitions. It is safe for concurrent use.
type Store struct {
	mu sync.Mutex
	// wake is closed and replaced at each append, which wakes the waiting reads.
	wake   chan struct{}
	topics map[string]*partition
	groups map[string]*group
	// downStatus is the HTTP status that answers every call during an outage; zero otherwise.
	downStatus int
	// loseAppends is how many of the next appends to the topic of jobs get no answer. They
	// are executed.
	loseAppends int
	// lost is called when one of them gets no answer; nil for nothing.
	lost func()
	// hold delays appends to the topic of jobs until it is closed; nil for no delay.
	hold chan struct{}
	// recordBytes and callBytes limit the size of a record and of an append, in bytes.
	recordBytes, callBytes int
}

// Limits for the size of a record and of an append, in bytes.
const (
	RecordBytes = 256 << 10
	CallBytes   = 2 << 20
)

// partition is a partition of a topic.
type partition struct {
	records   []platform.Record
	first     int64
	newest    map[string]platform.Record
	producers map[string]*producer
}

// producer is the state of an idempotent producer in a partition.
type producer struct {
	epoch   int64
	next    int64
	started bool
}

// group is a group of members that share partitions.
type group struct {
	generation int64
	members    []string
	seen       map[string]time.Time
	ttl        map[string]time.Duration
	// owners is the member that holds each partition. A partition goes to a new owner
	// once the former owner has seen the current generation.
	owners map[int]string
}

// _partitions is the number of partitions that a group shares.
const _partitions = 12

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		wake: make(chan struct{}), topics: make(map[string]*partition), groups: make(map[string]*group),
		recordBytes: RecordBytes, callBytes: CallBytes,
	}
}

// LimitSizes replaces the limits for the size of a record and of an append, in bytes. It is called
// before the store is used.
func (s *Store) LimitSizes(record, call int) { s.recordBytes, s.callBytes = record, call }

// Handler returns the HTTP interface of the store.
func (s *Store) Handler() *serve.Store {
	return &serve.Store{
		Append: s.Append, Read: s.read, Newest: s.Newest, Leave: s.Leave,
		Join:      func(m serve.Member) platform.Membership { return s.Join(time.Now(), m) },
		Owners:    func(g string) map[int]string { return s.Owners(time.Now(), g) },
		Intercept: s.intercept,
	}
}

// intercept injects outages, delays and lost answers into calls. It reports whether it has
// answered the call.
func (s *Store) intercept(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	hold := s.hold
	s.mu.Unlock()
	if hold != nil && r.URL.Query().Get("topic") == "keyed.jobs" && r.ContentLength > 0 {
		<-hold
	}
	s.mu.Lock()
	down := s.downStatus
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
	if lose {
		h := &serve.Store{Append: s.Append}
		h.ServeHTTP(discardResponse{}, r)
		if s.lost != nil {
			s.lost()
		}
		panic(http.ErrAbortHandler)
	}
	return false
}

// discardResponse drops an answer.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponse) WriteHeader(int)             {}

// Put appends a record to a topic, as the operator and upstreams do.
func (s *Store) Put(topic string, r platform.Record) {
	s.Append(serve.Append{Topic: topic, Records: []platform.Record{r}})
}

// Get returns the newest value of a key in a topic, and whether there is one.
func (s *Store) Get(topic, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.part(topic, 0).newest[key]
	return r.Value, ok
}

// countKeys returns the number of keys with a prefix in all partitions of a topic.
func (s *Store) countKeys(topic, prefix string) int {
	count := 0
	for n := range _partitions {
		l, _ := s.Newest(topic, n)
		for _, r := range l {
			if strings.HasPrefix(r.Key, prefix) {
				count++
			}
		}
	}
	return count
}

// Compact drops all records of all topics; only the newest value of each key remains
// readable.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.topics {
		p.first += int64(len(p.records))
		p.records = nil
	}
}

// Rebalance reassigns the partitions of all groups at once, without waiting for their
// owners.
func (s *Store) Rebalance() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		if len(g.members) > 1 {
			g.members = append(g.members[1:], g.members[0])
		}
		g.generation++
		g.owners = make(map[int]string)
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

// Append adds records to a partition. It returns the offset of the first record and the
// end offset after the last, or a refusal if a limit for sizes is exceeded, or the producer is
// fenced off or out of sequence.
func (s *Store) Append(a serve.Append) (first, end int64, f serve.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reason := s.checkSizes(a.Records); reason != "" {
		return 0, 0, serve.Refusal{Status: http.StatusBadRequest, Reason: reason}
	}
	p := s.part(a.Topic, a.Part)
	if a.Producer.Name != "" {
		if f, repeat := p.check(a); f.Status != 0 || repeat {
			return 0, p.end(), f
		}
	}
	if a.HasAt && a.At != p.end() {
		return 0, p.end(), serve.Refusal{Status: http.StatusPreconditionFailed}
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

// checkSizes returns the limit for sizes that records exceed, or "" if there is none.
func (s *Store) checkSizes(l []platform.Record) string {
	total := 0
	for _, r := range l {
		total += r.Size()
		if r.Size()-_lengthBytes > s.recordBytes {
			return "recordBytes"
		}
	}
	if total > s.callBytes {
		return "callBytes"
	}
	return ""
}

// _lengthBytes is the size of a record's length, which the limit for a record leaves out.
const _lengthBytes = 4

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// check checks a producer's epoch and sequence number. It reports whether the append
// repeats the previous one.
func (p *partition) check(a serve.Append) (f serve.Refusal, repeat bool) {
	w := p.producers[a.Producer.Name]
	if w == nil {
		w = &producer{}
		p.producers[a.Producer.Name] = w
	}
	switch {
	case a.Producer.Epoch < w.epoch:
		return serve.Refusal{Status: http.StatusConflict, Reason: platform.ReasonFenced}, false
	case a.Producer.Epoch > w.epoch:
		*w = producer{epoch: a.Producer.Epoch}
	}
	if len(a.Records) == 0 {
		return serve.Refusal{}, false
	}
	if w.started && a.Producer.Sequence == w.next-1 {
		return serve.Refusal{}, true
	}
	if w.started && a.Producer.Sequence != w.next {
		return serve.Refusal{Status: http.StatusConflict, Reason: "seq", Expected: w.next}, false
	}
	w.started, w.next = true, a.Producer.Sequence+1
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

// Newest returns the newest record of each key in a partition, and its end offset.
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

// Join adds a member to a group or renews its membership. It returns the group's
// generation and the partitions that the member holds.
func (s *Store) Join(now time.Time, m serve.Member) platform.Membership {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[m.Group]
	if g == nil {
		g = &group{
			seen: make(map[string]time.Time), ttl: make(map[string]time.Duration),
			owners: make(map[int]string),
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
		from := g.owners[p]
		// A partition is reassigned if it has no owner, if its owner has left the group, or
		// if this member owns it, has seen the current generation and must release it.
		if from == "" || !slices.Contains(g.members, from) || m.Generation >= g.generation && from == m.Name && to != m.Name {
			g.owners[p], from = to, to
		}
		if to == m.Name && from == m.Name {
			out.Partitions = append(out.Partitions, p)
		}
	}
	return out
}

// expire removes the members whose TTL has passed since they last joined.
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
	for p, o := range g.owners {
		if o == m {
			delete(g.owners, p)
		}
	}
}

// Leave removes a member from its group.
func (s *Store) Leave(m serve.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.groups[m.Group]; g != nil {
		g.remove(m.Name)
	}
}

// Owners returns the member that holds each partition of a group.
func (s *Store) Owners(now time.Time, name string) map[int]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[int]string)
	if g := s.groups[name]; g != nil {
		g.expire(now)
		for p, m := range g.owners {
			out[p] = m
		}
	}
	return out
}
