package broker_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/keys"
)

// TestScripts runs the scripts in testdata and compares the operations of the
// broker with the golden files. A line is a command of [script.command], a
// comment that begins with "#", or a duration such as "+500ms". A duration
// moves the clock forward, with a Tick whenever one is due.
func TestScripts(t *testing.T) {
	names, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(names) > 0)
	for _, n := range names {
		t.Run(filepath.Base(n), func(t *testing.T) {
			text, err := os.ReadFile(n)
			assert.NilError(t, err)
			s := newScript(t)
			for line := range strings.Lines(string(text)) {
				s.run(strings.TrimSpace(line))
			}
			golden.Assert(t, s.out.String(), strings.TrimSuffix(filepath.Base(n), ".txt")+".golden")
		})
	}
}

// script is the state of a running script.
type script struct {
	t       *testing.T
	b       broker.Broker
	keys    keys.Journal
	now     time.Time
	limits  broker.Limits
	hosts   []broker.Host
	slots   map[uint64]broker.Grant
	journal map[uint64]keys.Key
	offset  uint64
	out     bytes.Buffer
}

func newScript(t *testing.T) *script {
	s := &script{t: t, now: _epoch, slots: make(map[uint64]broker.Grant), journal: make(map[uint64]keys.Key)}
	s.b.SetKeyJournal(&s.keys)
	return s
}

// words are the arguments of a command; named has those of the form
// key=value.
type words struct {
	t     *testing.T
	plain []string
	named map[string]string
}

func (s *script) run(line string) {
	fmt.Fprintln(&s.out, line)
	if line == "" || strings.HasPrefix(line, "#") {
		return
	}
	if d, ok := strings.CutPrefix(line, "+"); ok {
		s.advance(s.duration(d))
		return
	}
	w := words{t: s.t, named: make(map[string]string)}
	for _, f := range strings.Fields(line) {
		if k, v, ok := strings.Cut(f, "="); ok {
			w.named[k] = v
		} else {
			w.plain = append(w.plain, f)
		}
	}
	s.command(w)
}

// command runs one command. Commands class, service, team, minAvailable, host
// and clearHosts change the configuration that apply passes to the broker.
// Command advance moves the clock forward without a Tick, and startElsewhere
// starts a key by the batch of another broker. The positional arguments of
// the others are:
//
//	ask REQUEST ENTRY
//	cancel REQUEST
//	done REQUEST OUTCOME
//	journaled REQUEST ok|failed
//	entryLost ENTRY
//	takeover TERM OWNER EXPECTED...
//	report ENTRY SLOT@HOST...
func (s *script) command(w words) {
	switch w.plain[0] {
	case "class":
		c := broker.Class{Name: w.plain[1], StartWithin: w.duration("startWithin"), Deadline: w.duration("deadline"), MaxRun: w.duration("maxRun")}
		if w.named["urgency"] == "urgent" {
			c.Urgency = broker.Urgent
		}
		s.limits.Classes = append(s.limits.Classes, c)
	case "service":
		s.limits.Services = append(s.limits.Services, broker.Service{Name: w.plain[1], Class: w.plain[2]})
	case "team":
		s.limits.Teams = append(s.limits.Teams, broker.Team{Name: w.plain[1], Weight: w.number("weight"), Quota: w.number("quota")})
	case "minAvailable":
		s.limits.MinAvailable = w.id(1)
	case "host":
		h := broker.Host{Name: w.plain[1], Rack: w.named["rack"], Slots: w.number("slots")}
		if w.named["state"] != "stopped" {
			h.State = broker.Serving
		}
		s.hosts = append(s.hosts, h)
	case "clearHosts":
		s.hosts = nil
	case "apply":
		s.show(s.b.SetLimits(s.now, s.limits))
		s.show(s.b.SetHosts(s.now, s.hosts))
	case "ask":
		s.show(s.b.Ask(s.now, s.ask(w)))
	case "cancel":
		s.show(s.b.Cancel(s.now, uint64(w.id(1))))
	case "done":
		s.show(s.done(w))
	case "journaled":
		s.show(s.journaled(w))
	case "startElsewhere":
		s.applyBatch(key(w.plain[1]))
	case "advance":
		s.now = s.now.Add(s.duration(w.plain[1]))
	case "entryLost":
		s.show(s.b.EntryLost(s.now, entry(w.plain[1])))
	case "takeover":
		k := broker.Takeover{Term: uint64(w.id(1)), Owner: entry(w.plain[2]), Staleness: w.duration("stale")}
		for _, e := range w.plain[3:] {
			k.Expected = append(k.Expected, entry(e))
		}
		s.show(s.b.Takeover(s.now, k))
	case "report":
		s.show(s.b.Report(s.now, entry(w.plain[1]), s.holds(w)))
	default:
		s.t.Fatalf("unknown command %q", w.plain[0])
	}
}

func entry(name string) broker.Entry {
	return broker.Entry{Name: name, Incarnation: 1}
}

func key(name string) keys.Key {
	var k keys.Key
	copy(k[:], name)
	return k
}

func (s *script) ask(w words) broker.Ask {
	a := broker.Ask{
		Request: uint64(w.id(1)), Entry: entry(w.plain[2]), Service: "service",
		Class: w.named["class"], Team: w.named["team"], Attempt: w.number("attempt"),
		Key: key(w.named["key"]), Idempotent: w.named["key"] == "",
	}
	if d := w.duration("deadline"); d > 0 {
		a.Deadline = s.now.Add(d)
	}
	if x := w.named["exclude"]; x != "" {
		a.Exclude = strings.Split(x, ",")
	}
	return a
}

var _outcomes = map[string]broker.Outcome{
	"lost": broker.Lost, "notSent": broker.NotSent, "unreachable": broker.Unreachable,
	"answered": broker.Answered, "failed": broker.Failed,
}

func (s *script) done(w words) []broker.Op {
	r := broker.Result{Outcome: _outcomes[w.plain[2]], Run: w.duration("run"), Answer: []byte(w.named["answer"]), Leaving: w.named["leaving"] == "yes"}
	return s.b.Done(s.now, s.slots[uint64(w.id(1))].Slot, r)
}

// journaled applies the batch of a key to the journal and passes the result
// to the broker.
func (s *script) journaled(w words) []broker.Op {
	id := uint64(w.id(1))
	if w.plain[2] == "failed" {
		return s.b.Journaled(s.now, id, broker.JournalFailed)
	}
	res := map[keys.Verdict]broker.JournalResult{
		keys.Started: broker.JournalStarted, keys.Duplicate: broker.JournalDuplicate, keys.Void: broker.JournalFailed,
	}
	return s.b.Journaled(s.now, id, res[s.applyBatch(s.journal[id])])
}

// applyBatch applies a batch with the key to the journal.
func (s *script) applyBatch(k keys.Key) keys.Verdict {
	s.offset++
	r := &keys.Record{AtUnixMs: s.now.UnixMilli(), Batches: []*keys.Batch{{Pool: "p", Term: s.b.Term(), Keys: k[:]}}}
	ss, err := s.keys.Apply(s.offset, r)
	assert.NilError(s.t, err)
	return ss[0].Verdict
}

// holds converts words such as "7@h1" to holds of the reporting entry.
func (s *script) holds(w words) []broker.Hold {
	var hs []broker.Hold
	for _, x := range w.plain[2:] {
		id, host, _ := strings.Cut(x, "@")
		n, err := strconv.Atoi(id)
		assert.NilError(s.t, err)
		hs = append(hs, broker.Hold{
			Slot: uint64(n), Request: uint64(n), Entry: entry(w.plain[1]), Host: host,
			Class: w.named["class"], Team: w.named["team"], Until: s.now.Add(w.duration("left")),
			Key: key(w.named["key"]),
		})
		s.slots[uint64(n)] = broker.Grant{Slot: uint64(n)}
	}
	return hs
}

// advance moves the clock forward and calls Tick whenever it is due.
func (s *script) advance(d time.Duration) {
	end := s.now.Add(d)
	for {
		n := s.b.Next()
		if n.IsZero() || n.After(end) {
			break
		}
		if n.After(s.now) {
			s.now = n
		}
		s.show(s.b.Tick(s.now))
	}
	s.now = end
}

func (s *script) show(ops []broker.Op) {
	for _, o := range ops {
		at := s.now.Sub(_epoch).Round(time.Millisecond)
		switch o := o.(type) {
		case broker.Grant:
			s.slots[o.Request] = o
			fmt.Fprintf(&s.out, "  %v grant %d %s %s\n", at, o.Request, o.Entry.Name, o.Host)
		case broker.Refuse:
			permanent := ""
			if o.Permanent {
				permanent = " permanent"
			}
			fmt.Fprintf(&s.out, "  %v refuse %d: %v, retry after %v%s\n", at, o.Request, o.Reason, o.RetryAfter.Round(time.Millisecond), permanent)
		case broker.Journal:
			s.journal[o.Request] = o.Key
			fmt.Fprintf(&s.out, "  %v journal %d\n", at, o.Request)
		case broker.Repeat:
			fmt.Fprintf(&s.out, "  %v repeat %d outcome=%d %q\n", at, o.Request, o.Outcome, o.Answer)
		}
	}
}

func (s *script) duration(x string) time.Duration {
	d, err := time.ParseDuration(x)
	assert.NilError(s.t, err)
	return d
}

func (w words) duration(k string) time.Duration {
	if w.named[k] == "" {
		return 0
	}
	d, err := time.ParseDuration(w.named[k])
	assert.NilError(w.t, err)
	return d
}

func (w words) number(k string) int {
	if w.named[k] == "" {
		return 0
	}
	n, err := strconv.Atoi(w.named[k])
	assert.NilError(w.t, err)
	return n
}

func (w words) id(i int) int {
	n, err := strconv.Atoi(w.plain[i])
	assert.NilError(w.t, err)
	return n
}
