package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as the settings file names them.
const (
	recordBytes = 262144
	callBytes   = 2097152
	partitions  = 12
	appendTime  = 2 * time.Millisecond
	answerTime  = 4 * time.Millisecond
	pageItems   = 500
	pageBytes   = 1 << 20
	partBytes   = 200 << 20
	totalBytes  = 400 << 20
	partRate    = 20 << 20 // bytes a second that a partition takes
)

// store is the platform's store: an append-only log with keyed topics and groups. Records
// expire only by the size of their partition, as no script lasts for 300 s.
type store struct {
	mu     sync.Mutex
	wake   chan struct{}
	parts  map[string]*partition
	groups map[string]*group
	// refused counts the appends that exceeded a limit of the store, by reason.
	refused map[string]int
}

type partition struct {
	busy      sync.Mutex // a partition processes its appends one at a time
	records   [][]byte
	first     int64 // the offset of the oldest record
	size      int
	newest    map[string]keyed
	producers map[string]*producer
}

type keyed struct {
	value  []byte
	offset int64
}

type producer struct {
	epoch, next int64
	started     bool
	// last holds the answers to the last five appends by sequence number.
	last map[int64][2]int64
}

type group struct {
	generation int64
	members    []string
	seen       map[string]time.Time
	ttl        map[string]time.Duration
	owners     map[int]string
	topic      string
}

func newStore() *store {
	return &store{wake: make(chan struct{}), parts: map[string]*partition{}, groups: map[string]*group{}, refused: map[string]int{}}
}

func (s *store) part(topic, part string) *partition {
	k := topic + "/" + part
	p := s.parts[k]
	if p == nil {
		p = &partition{newest: map[string]keyed{}, producers: map[string]*producer{}}
		s.parts[k] = p
	}
	return p
}

func reply(w http.ResponseWriter, code int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(b)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.serveAppend(w, r)
	case "GET /api/log-read":
		s.serveRead(w, r)
	case "GET /api/log-newest":
		s.serveNewest(w, r)
	case "POST /api/log-trim":
		reply(w, 200, map[string]any{})
	case "POST /api/log-join":
		s.serveJoin(w, r)
	case "POST /api/log-leave":
		var m struct{ Group, Member string }
		_ = json.NewDecoder(r.Body).Decode(&m)
		s.mu.Lock()
		if g := s.groups[m.Group]; g != nil {
			g.remove(m.Member)
		}
		s.mu.Unlock()
		reply(w, 200, map[string]any{})
	case "POST /api/log-commit":
		reply(w, 200, map[string]any{})
	case "GET /api/log-owners":
		s.mu.Lock()
		rows := [][]any{}
		if g := s.groups[q.Get("group")]; g != nil {
			g.expire(time.Now())
			for p := range partitions {
				rows = append(rows, []any{g.topic, p, g.owners[p], 0})
			}
		}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"parts": rows})
	default:
		reply(w, 404, map[string]any{})
	}
}

// split returns the records of a call, and why the call exceeds a limit or is malformed.
func split(b []byte) (l [][]byte, bad string) {
	if len(b) > callBytes {
		return nil, "callBytes"
	}
	for len(b) > 0 {
		if len(b) < 4 {
			return nil, "format"
		}
		n := int(binary.BigEndian.Uint32(b))
		if n > recordBytes {
			return nil, "recordBytes"
		}
		if n > len(b)-4 {
			return nil, "format"
		}
		l = append(l, b[4:4+n])
		b = b[4+n:]
	}
	return l, ""
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	topic := q.Get("topic")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		reply(w, 403, map[string]any{})
		return
	}
	l, bad := split(body)
	if bad != "" {
		s.mu.Lock()
		s.refused[bad]++
		s.mu.Unlock()
		reply(w, 400, map[string]any{"reason": bad})
		return
	}
	s.mu.Lock()
	p := s.part(topic, q.Get("part"))
	s.mu.Unlock()
	p.busy.Lock()
	defer p.busy.Unlock()
	time.Sleep(appendTime + time.Duration(len(body))*time.Second/partRate)
	s.mu.Lock()
	defer s.mu.Unlock()
	var pr *producer
	var seq int64
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		seq, _ = strconv.ParseInt(q.Get("sequence"), 10, 64)
		if pr = p.producers[name]; pr == nil {
			pr = &producer{epoch: epoch}
			p.producers[name] = pr
		}
		switch {
		case epoch < pr.epoch:
			reply(w, 409, map[string]any{"reason": "fenced"})
			return
		case epoch > pr.epoch:
			*pr = producer{epoch: epoch}
		}
		if len(l) > 0 && pr.started {
			if a, ok := pr.last[seq]; ok {
				reply(w, 200, map[string]any{"offset": a[0], "endOffset": a[1]})
				return
			}
			if seq != pr.next {
				reply(w, 409, map[string]any{"reason": "seq", "sequence": pr.next})
				return
			}
		}
	}
	if len(l) > 0 && s.stored() >= totalBytes {
		s.refused["507"]++
		reply(w, 507, map[string]any{})
		return
	}
	first := p.end()
	s.add(p, topic, l)
	end := p.end()
	if pr != nil && len(l) > 0 {
		if pr.last == nil {
			pr.last = map[int64][2]int64{}
		}
		pr.started, pr.next = true, seq+1
		pr.last[seq] = [2]int64{first, end}
		delete(pr.last, seq-5)
	}
	reply(w, 200, map[string]any{"offset": first, "endOffset": end})
}

// add appends records. The caller holds the lock.
func (s *store) add(p *partition, topic string, l [][]byte) {
	for _, b := range l {
		if strings.HasPrefix(topic, "keyed.") && len(b) > 0 && 1+int(b[0]) <= len(b) {
			k := string(b[1 : 1+int(b[0])])
			if v := b[1+int(b[0]):]; len(v) > 0 {
				p.newest[k] = keyed{v, p.end()}
			} else {
				delete(p.newest, k)
			}
		}
		p.records = append(p.records, b)
		p.size += len(b)
		for p.size > partBytes {
			p.size -= len(p.records[0])
			p.records, p.first = p.records[1:], p.first+1
		}
	}
	close(s.wake)
	s.wake = make(chan struct{})
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// stored returns the size of all records. The caller holds the lock.
func (s *store) stored() int {
	n := 0
	for _, p := range s.parts {
		n += p.size
	}
	return n
}

// put writes a record of the operator or of an executor.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := append([]byte{byte(len(key))}, key...)
	s.add(s.part(topic, "0"), topic, [][]byte{append(b, value...)})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	t := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer t.Stop()
	for {
		s.mu.Lock()
		p, wake := s.part(q.Get("topic"), q.Get("part")), s.wake
		var out []byte
		first, end := p.first, p.end()
		if from < first {
			s.mu.Unlock()
			reply(w, 410, map[string]any{"first": first})
			return
		}
		if from < end {
			for _, b := range p.records[from-first:] {
				if len(out) > 0 && len(out)+len(b) > 1<<20 {
					break
				}
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(b))), b...)
			}
		}
		s.mu.Unlock()
		if len(out) == 0 && wait > 0 {
			select {
			case <-wake:
				continue
			case <-t.C:
				wait = 0
				continue
			case <-r.Context().Done():
				return
			}
		}
		h := binary.BigEndian.AppendUint64(nil, uint64(end))
		h = binary.BigEndian.AppendUint64(h, uint64(first))
		_, _ = w.Write(append(h, out...))
		return
	}
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	p := s.part(q.Get("topic"), q.Get("part"))
	var keys []string
	for k := range p.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		v := p.newest[k]
		if len(items) > 0 && (len(items) == pageItems || size+len(v.value) > pageBytes) {
			more = true
			break
		}
		size += len(v.value)
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString(v.value), "offset": v.offset})
	}
	end := p.end()
	s.mu.Unlock()
	reply(w, 200, map[string]any{"items": items, "hasMore": more, "endOffset": end})
}

func (s *store) serveJoin(w http.ResponseWriter, r *http.Request) {
	var m struct {
		Group, Member string
		Topics        []string
		TTLMs         int64 `json:"ttlMs"`
		Generation    int64
	}
	if json.NewDecoder(r.Body).Decode(&m) != nil || len(m.Topics) == 0 || m.TTLMs < 1000 {
		reply(w, 400, map[string]any{})
		return
	}
	now := time.Now()
	s.mu.Lock()
	g := s.groups[m.Group]
	if g == nil {
		g = &group{seen: map[string]time.Time{}, ttl: map[string]time.Duration{}, owners: map[int]string{}, topic: m.Topics[0]}
		s.groups[m.Group] = g
	}
	g.expire(now)
	if !slices.Contains(g.members, m.Member) {
		g.members = append(g.members, m.Member)
		g.generation++
	}
	g.seen[m.Member], g.ttl[m.Member] = now, time.Duration(m.TTLMs)*time.Millisecond
	rows := [][]any{}
	for p := range partitions {
		to, from := g.members[p%len(g.members)], g.owners[p]
		if from == "" || from == m.Member && to != m.Member && m.Generation >= g.generation {
			g.owners[p], from = to, to
		}
		if to == m.Member && from == m.Member {
			rows = append(rows, []any{g.topic, p, 0})
		}
	}
	n := g.generation
	s.mu.Unlock()
	reply(w, 200, map[string]any{"generation": n, "parts": rows})
}

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
