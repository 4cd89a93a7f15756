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

// TestScripts plays the scripts in testdata and compares what the broker says
// with the golden files. Lines are commands of [script]; a line "+500ms" lets
// time pass, with a Tick whenever the broker asks for one.
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
				s.play(strings.TrimSpace(line))
			}
			golden.Assert(t, s.out.String(), strings.TrimSuffix(filepath.Base(n), ".txt")+".golden")
		})
	}
}

// script is the state of a script that is played.
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

// words are the arguments of a command, with those of the form key=value.
type words struct {
	t     *testing.T
	plain []string
	named map[string]string
}

func (s *script) play(line string) {
	fmt.Fprintln(&s.out, line)
	if line == "" || strings.HasPrefix(line, "#") {
		return
	}
	if d, ok := strings.CutPrefix(line, "+"); ok {
		s.pass(s.duration(d))
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

func (s *script) command(w words) {
	switch w.plain[0] {
	case "class":
		c := broker.Class{Name: w.plain[1], StartWithin: w.duration("within"), Deadline: w.duration("deadline"), MaxRun: w.duration("run")}
		if w.named["urgency"] == "urgent" {
			c.Urgency = broker.Urgent
		}
		s.limits.Classes = append(s.limits.Classes, c)
	case "service":
		s.limits.Services = append(s.limits.Services, broker.Service{Name: w.plain[1], Class: w.plain[2]})
	case "team":
		s.limits.Teams = append(s.limits.Teams, broker.Team{Name: w.plain[1], Weight: w.number("weight"), Quota: w.number("quota")})
	case "min":
		s.limits.MinAvailable = w.id(1)
	case "host":
		h := broker.Host{Name: w.plain[1], Rack: w.named["rack"], Slots: w.number("slots")}
		if w.named["duty"] != "stopped" {
			h.State = broker.Serving
		}
		s.hosts = append(s.hosts, h)
	case "nohosts":
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
	case "started":
		s.started(key(w.plain[1]))
	case "skip":
		s.now = s.now.Add(s.duration(w.plain[1]))
	case "lost":
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

// journaled lets the journal read the batch of a key back and tells the broker.
func (s *script) journaled(w words) []broker.Op {
	id := uint64(w.id(1))
	if w.plain[2] == "failed" {
		return s.b.Journaled(s.now, id, broker.JournalFailed)
	}
	res := map[keys.Verdict]broker.JournalResult{
		keys.Started: broker.JournalStarted, keys.Duplicate: broker.JournalDuplicate, keys.Void: broker.JournalFailed,
	}
	return s.b.Journaled(s.now, id, res[s.started(s.journal[id])])
}

// started lets the journal read a batch with the key.
func (s *script) started(k keys.Key) keys.Verdict {
	s.offset++
	r := &keys.Record{AtUnixMs: s.now.UnixMilli(), Batches: []*keys.Batch{{Pool: "p", Term: s.b.Term(), Keys: k[:]}}}
	ss, err := s.keys.Apply(s.offset, r)
	assert.NilError(s.t, err)
	return ss[0].Verdict
}

// holds turns words like "7@h1" into holds of the reported entry.
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

// pass lets time go on.
func (s *script) pass(d time.Duration) {
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
			never := ""
			if o.Permanent {
				never = " never"
			}
			fmt.Fprintf(&s.out, "  %v refuse %d: %v, back after %v%s\n", at, o.Request, o.Reason, o.RetryAfter.Round(time.Millisecond), never)
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
