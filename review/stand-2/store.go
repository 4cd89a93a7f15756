package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store in the form of a log.
type store struct {
	rec    *recorder
	mu     sync.Mutex
	wake   chan struct{}
	topics map[string]*partition
	groups map[string]*memberGroup
}

// partition is one partition of a topic. All topics of the system are keyed.
type partition struct {
	records   []record
	newest    map[string]record
	producers map[string]*producer
}

type record struct {
	key    string
	value  []byte
	offset int64
}

// producer is an idempotent writer of a partition: its epoch, its last sequence number, and the
// answers to its last appends.
type producer struct {
	epoch   int64
	started bool
	last    int64
	answers map[int64]map[string]any
}

// memberGroup is a group of members that share partitions.
type memberGroup struct {
	generation int64
	members    []string
	expires    map[string]time.Time
	ttl        map[string]time.Duration
	target     map[int]string
	holder     map[int]string
}

const (
	_parts     = 12
	_storeTime = 3 * time.Millisecond
	_pageItems = 500
	_maxWait   = 30 * time.Second
)

func newStore(r *recorder) *store {
	return &store{rec: r, wake: make(chan struct{}), topics: make(map[string]*partition), groups: make(map[string]*memberGroup)}
}

// partition returns a partition and creates it if necessary. The caller holds the lock.
func (s *store) partition(topic string, part int) *partition {
	k := topic + "/" + strconv.Itoa(part)
	p := s.topics[k]
	if p == nil {
		p = &partition{newest: make(map[string]record), producers: make(map[string]*producer)}
		s.topics[k] = p
	}
	return p
}

// add adds records to a partition and wakes the waiting reads. The caller holds the lock.
func (s *store) add(p *partition, l []record) (first, end int64) {
	first = int64(len(p.records))
	for _, r := range l {
		r.offset = int64(len(p.records))
		p.records = append(p.records, r)
		if len(r.value) == 0 {
			delete(p.newest, r.key)
		} else {
			p.newest[r.key] = r
		}
	}
	close(s.wake)
	s.wake = make(chan struct{})
	return first, int64(len(p.records))
}

// put writes a record as the operator or an executor does.
func (s *store) put(topic, key string, v any) {
	var b []byte
	if v != nil {
		b, _ = json.Marshal(v) // Only maps of plain values are written.
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(s.partition(topic, 0), []record{{key: key, value: b}})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(_storeTime)
	q := r.URL.Query()
	part, _ := strconv.Atoi(q.Get("part"))
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.append(w, r, part)
	case "GET /api/log-read":
		s.read(w, r, part)
	case "GET /api/log-newest":
		s.newest(w, q.Get("topic"), part, q.Get("after"))
	case "POST /api/log-join":
		s.join(w, r)
	case "POST /api/log-leave":
		s.leave(w, r)
	case "GET /api/log-owners":
		s.owners(w, q.Get("group"))
	case "POST /api/log-trim", "POST /api/log-commit":
		answer(w, http.StatusOK, map[string]any{})
	default:
		answer(w, http.StatusNotFound, map[string]any{})
	}
}

func answer(w http.ResponseWriter, status int, v map[string]any) {
	b, _ := json.Marshal(v) // Only maps of plain values are written.
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) append(w http.ResponseWriter, r *http.Request, part int) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	topic := q.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		answer(w, http.StatusForbidden, map[string]any{})
		return
	}
	l := decodeRecords(b)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	end := int64(len(p.records))
	if at := q.Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
		answer(w, http.StatusPreconditionFailed, map[string]any{"endOffset": end})
		return
	}
	var d *producer
	seq, _ := strconv.ParseInt(q.Get("sequence"), 10, 64)
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		if d = p.producers[name]; d == nil {
			d = &producer{epoch: epoch, answers: make(map[int64]map[string]any)}
			p.producers[name] = d
		}
		switch {
		case epoch < d.epoch:
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		case epoch > d.epoch:
			*d = producer{epoch: epoch, answers: make(map[int64]map[string]any)}
		}
		if len(l) == 0 {
			// It appends nothing and sets the epoch.
			answer(w, http.StatusOK, map[string]any{"offset": end, "endOffset": end})
			return
		}
		if a := d.answers[seq]; a != nil && seq > d.last-5 {
			answer(w, http.StatusOK, a)
			return
		}
		if d.started && seq != d.last+1 {
			answer(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": d.last + 1})
			return
		}
	}
	first, next := s.add(p, l)
	a := map[string]any{"offset": first, "endOffset": next}
	if d != nil {
		d.started, d.last = true, seq
		d.answers[seq] = a
		delete(d.answers, seq-5)
	}
	answer(w, http.StatusOK, a)
}

// decodeRecords decodes records of a keyed topic.
func decodeRecords(b []byte) []record {
	var l []record
	for len(b) >= 4 {
		n := int(binary.BigEndian.Uint32(b))
		if n < 1 || n > len(b)-4 {
			return l
		}
		c := b[4 : 4+n]
		b = b[4+n:]
		k := int(c[0])
		if k+1 > n {
			continue
		}
		l = append(l, record{key: string(c[1 : 1+k]), value: slices.Clone(c[1+k:])})
	}
	return l
}

func (s *store) read(w http.ResponseWriter, r *http.Request, part int) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	ms, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	until := time.Now().Add(min(time.Duration(ms)*time.Millisecond, _maxWait))
	for {
		s.mu.Lock()
		p := s.partition(q.Get("topic"), part)
		end, wake := int64(len(p.records)), s.wake
		var l []record
		if from < end {
			l = slices.Clone(p.records[max(0, from):])
		}
		s.mu.Unlock()
		left := time.Until(until)
		if len(l) > 0 || left <= 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(end))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, x := range l {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(x.key)+len(x.value)))
				out = append(out, byte(len(x.key)))
				out = append(append(out, x.key...), x.value...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-wake:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newest(w http.ResponseWriter, topic string, part int, after string) {
	s.mu.Lock()
	p := s.partition(topic, part)
	var keys []string
	for k := range p.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > _pageItems
	keys = keys[:min(len(keys), _pageItems)]
	items := []map[string]any{}
	for _, k := range keys {
		x := p.newest[k]
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(x.value), "offset": x.offset})
	}
	end := len(p.records)
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "endOffset": end})
}

type joinRequest struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMs      int64    `json:"ttlMs"`
	Generation int64    `json:"generation"`
}

// group returns a group without the members whose time has run out. The caller holds the lock.
func (s *store) group(name string) *memberGroup {
	g := s.groups[name]
	if g == nil {
		g = &memberGroup{expires: make(map[string]time.Time), ttl: make(map[string]time.Duration), target: make(map[int]string), holder: make(map[int]string)}
		s.groups[name] = g
	}
	for _, m := range slices.Clone(g.members) {
		if time.Now().After(g.expires[m]) {
			g.remove(m)
		}
	}
	return g
}

func (g *memberGroup) remove(m string) {
	i := slices.Index(g.members, m)
	if i < 0 {
		return
	}
	g.members = slices.Delete(g.members, i, i+1)
	for p, h := range g.holder {
		if h == m {
			delete(g.holder, p)
		}
	}
	g.rebalance()
}

// rebalance distributes the partitions evenly, and leaves them where they are as far as that goes.
func (g *memberGroup) rebalance() {
	g.generation++
	n := len(g.members)
	if n == 0 {
		g.target = make(map[int]string)
		return
	}
	count := make(map[string]int)
	limit := (_parts + n - 1) / n
	next := make(map[int]string)
	for p := range _parts {
		if m := g.target[p]; slices.Contains(g.members, m) && count[m] < limit {
			next[p] = m
			count[m]++
		}
	}
	for p := range _parts {
		if next[p] != "" {
			continue
		}
		least := g.members[0]
		for _, m := range g.members {
			if count[m] < count[least] {
				least = m
			}
		}
		next[p] = least
		count[least]++
	}
	g.target = next
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var q joinRequest
	if json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Topics) == 0 {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(q.Group)
	if !slices.Contains(g.members, q.Member) {
		g.members = append(g.members, q.Member)
		g.rebalance()
	}
	g.ttl[q.Member] = time.Duration(q.TTLMs) * time.Millisecond
	g.expires[q.Member] = time.Now().Add(g.ttl[q.Member])
	rows := [][]any{}
	for p := range _parts {
		switch {
		case g.holder[p] == q.Member && g.target[p] != q.Member && q.Generation >= g.generation:
			delete(g.holder, p)
		case g.holder[p] == "" && g.target[p] == q.Member:
			g.holder[p] = q.Member
		}
		if g.holder[p] == q.Member && g.target[p] == q.Member {
			rows = append(rows, []any{q.Topics[0], p, 0})
		}
	}
	answer(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": rows})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var q joinRequest
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group(q.Group).remove(q.Member)
	answer(w, http.StatusOK, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter, group string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	for p, m := range s.group(group).holder {
		rows = append(rows, []any{"pools", p, m, 0})
	}
	answer(w, http.StatusOK, map[string]any{"parts": rows})
}

// holderOf returns the member that holds a partition, or an empty string.
func (s *store) holderOf(group string, part int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group(group).holder[part]
}

// status returns the value that the system wrote under a key of keyed.status.
func (s *store) status(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.partition("keyed.status", 0).newest[key].value)
}
