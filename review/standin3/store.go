package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// appendTime is how long an append takes.
const appendTime = 2 * time.Millisecond

// record is a record of a partition.
type record struct {
	key   string
	value []byte
	// raw is the content after the four bytes of length.
	raw []byte
}

// producer is the state of a producer of a partition.
type producer struct {
	epoch int64
	next  int64
	// any is set while the next append may have any sequence number.
	any bool
	// last has the answers to the last five appends.
	last []appendAnswer
}

type appendAnswer struct{ sequence, offset, end int64 }

// partition is a partition of a topic.
type partition struct {
	records   []record
	newest    map[string]int
	producers map[string]*producer
	changed   chan struct{}
}

// member is a member of a group.
type member struct {
	joined time.Time
	ttl    time.Duration
	// seen is the generation that the member named last.
	seen int64
}

// group assigns the partitions of one topic to members.
type group struct {
	topic      string
	generation int64
	members    map[string]*member
	target     map[int]string
	holder     map[int]string
}

// store is a stand-in of the platform's store.
type store struct {
	mu     sync.Mutex
	parts  int
	topics map[string]map[int]*partition
	groups map[string]*group
}

func newStore(parts int) *store {
	return &store{parts: parts, topics: make(map[string]map[int]*partition), groups: make(map[string]*group)}
}

func (s *store) partition(topic string, part int) *partition {
	t := s.topics[topic]
	if t == nil {
		t = make(map[int]*partition)
		s.topics[topic] = t
	}
	p := t[part]
	if p == nil {
		p = &partition{newest: make(map[string]int), producers: make(map[string]*producer), changed: make(chan struct{})}
		t[part] = p
	}
	return p
}

func (p *partition) end() int64 { return int64(len(p.records)) }

func (p *partition) add(l []record) {
	for _, r := range l {
		p.records = append(p.records, r)
		if r.key == "" {
			continue
		}
		if len(r.value) == 0 {
			delete(p.newest, r.key)
			continue
		}
		p.newest[r.key] = len(p.records) - 1
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// put writes a record of the operator or of an executor. An empty value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.partition(topic, 0).add([]record{{key, value, append(raw, value...)}})
}

// holder returns the member that holds a partition of a group.
func (s *store) holderOf(name string, part int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[name]
	if g == nil {
		return ""
	}
	g.expire(time.Now(), s.parts)
	return g.holder[part]
}

func answer(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

type object map[string]any

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q, _ := url.ParseQuery(strings.ReplaceAll(r.URL.RawQuery, "+", "%2B"))
	part, _ := strconv.Atoi(q.Get("part"))
	switch r.Method + " " + r.URL.Path {
	case "POST /api/log-append":
		s.append(w, r, q, part)
	case "GET /api/log-read":
		s.read(w, r, q, part)
	case "GET /api/log-newest":
		s.readNewest(w, q, part)
	case "POST /api/log-join":
		s.join(w, r)
	case "POST /api/log-leave":
		s.leave(w, r)
	case "GET /api/log-owners":
		s.owners(w, q)
	case "POST /api/log-trim", "POST /api/log-commit":
		answer(w, http.StatusOK, object{})
	default:
		answer(w, http.StatusNotFound, object{})
	}
}

func decodeRecords(b []byte, keyed bool) []record {
	var l []record
	for len(b) >= 4 {
		n := int(binary.BigEndian.Uint32(b))
		c := b[4 : 4+n]
		b = b[4+n:]
		x := record{raw: c}
		if keyed && n > 0 {
			k := int(c[0])
			x.key, x.value = string(c[1:1+k]), c[1+k:]
		}
		l = append(l, x)
	}
	return l
}

func (s *store) append(w http.ResponseWriter, r *http.Request, q url.Values, part int) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(appendTime)
	topic := q.Get("topic")
	if topic == "keyed.op" || topic == "keyed.servers" {
		answer(w, http.StatusForbidden, object{})
		return
	}
	l := decodeRecords(body, strings.HasPrefix(topic, "keyed."))
	s.mu.Lock()
	status, v := s.appendLocked(topic, part, q, l)
	s.mu.Unlock()
	answer(w, status, v)
}

func (s *store) appendLocked(topic string, part int, q url.Values, l []record) (int, object) {
	p := s.partition(topic, part)
	name := q.Get("producer")
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(q.Get("sequence"), 10, 64)
	var x *producer
	if name != "" {
		x = p.producers[name]
		if x == nil {
			x = &producer{epoch: epoch, any: true}
			p.producers[name] = x
		}
		if epoch < x.epoch {
			return http.StatusConflict, object{"reason": "fenced"}
		}
		if epoch > x.epoch {
			*x = producer{epoch: epoch, any: true}
		}
		if len(l) > 0 && !x.any && sequence != x.next {
			for _, a := range x.last {
				if a.sequence == sequence {
					return http.StatusOK, object{"offset": a.offset, "endOffset": a.end}
				}
			}
			return http.StatusConflict, object{"reason": "seq", "sequence": x.next}
		}
	}
	if t := q.Get("at"); t != "" {
		if at, _ := strconv.ParseInt(t, 10, 64); at != p.end() {
			return http.StatusPreconditionFailed, object{"endOffset": p.end()}
		}
	}
	first := p.end()
	if len(l) > 0 {
		p.add(l)
		if x != nil {
			x.any, x.next = false, sequence+1
			x.last = append(x.last, appendAnswer{sequence, first, p.end()})
			if len(x.last) > 5 {
				x.last = x.last[1:]
			}
		}
	}
	return http.StatusOK, object{"offset": first, "endOffset": p.end()}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, q url.Values, part int) {
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.partition(q.Get("topic"), part)
		end, changed := p.end(), p.changed
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, 0)
		for i := from; i < end && len(out) < 1<<20; i++ {
			out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[i].raw)))
			out = append(out, p.records[i].raw...)
		}
		s.mu.Unlock()
		if from < end || wait <= 0 {
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-until:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) readNewest(w http.ResponseWriter, q url.Values, part int) {
	const page = 500
	s.mu.Lock()
	p := s.partition(q.Get("topic"), part)
	var keys []string
	for k := range p.newest {
		if q.Get("after") == "" || k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > page
	if more {
		keys = keys[:page]
	}
	items := []object{}
	for _, k := range keys {
		i := p.newest[k]
		items = append(items, object{"key": k, "value": base64.StdEncoding.EncodeToString(p.records[i].value), "offset": i})
	}
	end := p.end()
	s.mu.Unlock()
	answer(w, http.StatusOK, object{"items": items, "hasMore": more, "endOffset": end})
}

type joinCall struct {
	Group      string   `json:"group"`
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMs      int64    `json:"ttlMs"`
	Generation int64    `json:"generation"`
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var c joinCall
	if json.NewDecoder(r.Body).Decode(&c) != nil || len(c.Topics) == 0 {
		answer(w, http.StatusBadRequest, object{})
		return
	}
	now := time.Now()
	s.mu.Lock()
	g := s.groups[c.Group]
	if g == nil {
		g = &group{topic: c.Topics[0], members: make(map[string]*member), target: make(map[int]string), holder: make(map[int]string)}
		s.groups[c.Group] = g
	}
	g.expire(now, s.parts)
	m := g.members[c.Member]
	if m == nil {
		m = &member{}
		g.members[c.Member] = m
		g.change(s.parts)
	}
	m.joined, m.ttl, m.seen = now, time.Duration(c.TTLMs)*time.Millisecond, c.Generation
	g.handOver(s.parts)
	parts := [][]any{}
	for k := range s.parts {
		if g.holder[k] == c.Member && g.target[k] == c.Member {
			parts = append(parts, []any{g.topic, k, 0})
		}
	}
	generation := g.generation
	s.mu.Unlock()
	answer(w, http.StatusOK, object{"generation": generation, "parts": parts})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var c joinCall
	_ = json.NewDecoder(r.Body).Decode(&c)
	s.mu.Lock()
	if g := s.groups[c.Group]; g != nil && g.members[c.Member] != nil {
		delete(g.members, c.Member)
		g.change(s.parts)
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, object{})
}

func (s *store) owners(w http.ResponseWriter, q url.Values) {
	s.mu.Lock()
	rows := [][]any{}
	if g := s.groups[q.Get("group")]; g != nil {
		g.expire(time.Now(), s.parts)
		for k := range s.parts {
			if m := g.holder[k]; m != "" {
				rows = append(rows, []any{g.topic, k, m, 0})
			}
		}
	}
	s.mu.Unlock()
	answer(w, http.StatusOK, object{"parts": rows})
}

// expire removes the members that have sent nothing for their ttl.
func (g *group) expire(now time.Time, parts int) {
	gone := false
	for n, m := range g.members {
		if now.Sub(m.joined) > m.ttl {
			delete(g.members, n)
			gone = true
		}
	}
	if gone {
		g.change(parts)
	}
}

// change distributes the partitions anew, evenly and with few moves.
func (g *group) change(parts int) {
	g.generation++
	var names []string
	for n := range g.members {
		names = append(names, n)
	}
	sort.Strings(names)
	if len(names) == 0 {
		g.target, g.holder = make(map[int]string), make(map[int]string)
		return
	}
	most := (parts + len(names) - 1) / len(names)
	count := make(map[string]int)
	target := make(map[int]string)
	for k := range parts {
		if m := g.target[k]; g.members[m] != nil && count[m] < most {
			target[k] = m
			count[m]++
		}
	}
	for k := range parts {
		if target[k] != "" {
			continue
		}
		least := names[0]
		for _, n := range names {
			if count[n] < count[least] {
				least = n
			}
		}
		target[k] = least
		count[least]++
	}
	g.target = target
	g.handOver(parts)
}

// handOver gives partitions to their next members once the former ones have let go.
func (g *group) handOver(parts int) {
	for k := range parts {
		h := g.members[g.holder[k]]
		if h == nil || g.holder[k] != g.target[k] && h.seen >= g.generation {
			g.holder[k] = g.target[k]
		}
	}
}
