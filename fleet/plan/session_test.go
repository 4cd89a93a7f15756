package plan_test

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"google.golang.org/protobuf/encoding/prototext"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"fescuelanding/fleet/config"
	"fescuelanding/fleet/plan"
	"fescuelanding/fleet/record"
)

// TestSessions runs the sessions of testdata and compares what happened with a
// golden file. Lines of a session are
//
//	run DURATION           let time pass
//	off PLACE [DURATION]   take hosts off the live list, for good or for a time
//	back PLACE             put them back
//	stuck HOST             let the host's next reboot never end
//	linger HOST            let the host stay on the list when it is taken down
//	leaving HOST           list the host as leaving
//	staying HOST           list it as live again
//	mute ENTRY             let an entry confirm nothing
//	unmute ENTRY           let it confirm again
//	freeze, thaw           stop and resume new live lists
//	forget                 plan on with an entry that has seen nothing
//	explain HOST           print the explanation of a host
//	explainPool POOL       print that of a pool
//	moves, pools           print the moves so far, and the pools
//	BODY                   apply an operator's record in protobuf text
//
// where PLACE is a host, dataCentre/rack, or data centre.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "*.txtar"))
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".txtar")
		t.Run(name, func(t *testing.T) {
			golden.Assert(t, runSession(t, f), name+".golden")
		})
	}
}

// session is a run of one session.
type session struct {
	*world
	out bytes.Buffer
}

// runSession returns what happened in a session.
func runSession(t *testing.T, file string) string {
	a, err := txtar.ParseFile(file)
	assert.NilError(t, err)
	files := map[string][]byte{}
	for _, f := range a.Files {
		files[f.Name] = f.Data
	}
	c, err := config.Parse(files["fleet.ini"])
	assert.NilError(t, err)
	s := &session{world: newWorld(t, c, plan.Plan)}
	s.note = s.record
	for line := range strings.Lines(string(files["session"])) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			fmt.Fprintf(&s.out, "> %s\n", line)
			s.line(line)
		}
	}
	s.pools()
	fmt.Fprintf(&s.out, "rejected %d of %d\n", s.rejected, s.proposed)
	return s.out.String()
}

// record prints an accepted record other than a confirmation.
func (s *session) record(r *record.Record) {
	if r.GetConfirm() != nil {
		return
	}
	c := &record.Record{Body: r.GetBody()}
	text := strings.Join(strings.Fields(prototext.MarshalOptions{Multiline: false}.Format(c)), " ")
	fmt.Fprintf(&s.out, "%v %s\n", s.now.Sub(_start), text)
}

// line carries one line out.
func (s *session) line(line string) {
	word, rest, _ := strings.Cut(line, " ")
	if s.platformLine(word, rest) || s.printLine(word, rest) {
		return
	}
	switch word {
	case "run":
		d, err := time.ParseDuration(rest)
		assert.NilError(s, err)
		s.run(d)
	case "mute":
		s.mute[rest] = true
	case "unmute":
		delete(s.mute, rest)
	case "forget":
		s.seen = plan.Observations{}
	default:
		r := new(record.Record)
		assert.NilError(s, prototext.Unmarshal([]byte(line), r), line)
		s.must(r)
	}
}

// platformLine carries out a line about the platform.
func (s *session) platformLine(word, rest string) bool {
	place, duration, _ := strings.Cut(rest, " ")
	switch word {
	case "off":
		until := time.Time{}
		if duration != "" {
			d, err := time.ParseDuration(duration)
			assert.NilError(s, err)
			until = s.now.Add(d)
		}
		for _, h := range s.named(place) {
			s.offList[h] = until
		}
	case "back":
		for _, h := range s.named(place) {
			delete(s.offList, h)
			delete(s.stuck, h)
		}
	case "stuck":
		s.stuck[rest] = true
	case "linger":
		s.linger[rest] = true
	case "leaving", "staying":
		s.leaving[rest] = word == "leaving"
	case "freeze", "thaw":
		s.frozen = word == "freeze"
	default:
		return false
	}
	return true
}

// printLine carries out a line that prints.
func (s *session) printLine(word, rest string) bool {
	switch word {
	case "explain":
		fmt.Fprintln(&s.out, plan.Explain(s.state, s.seen, rest, s.now))
	case "explainPool":
		fmt.Fprintln(&s.out, plan.ExplainPool(s.state, s.seen, rest, s.now))
	case "moves":
		fmt.Fprintln(&s.out, "moves", s.moves)
	case "pools":
		s.pools()
	default:
		return false
	}
	return true
}

// pools prints the pools.
func (s *session) pools() {
	for _, l := range s.state.Config().Pools() {
		n, _ := s.state.Pool(l.Name())
		fmt.Fprintf(&s.out, "pool %s total %d available %d budget %d\n", n.Name(), n.Total(), n.Available(), n.Budget())
	}
}
