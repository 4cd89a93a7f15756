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

// TestSessions runs the sessions of testdata and compares the records and printed
// lines with a golden file. The commands of a session are
//
//	run DURATION             let simulated time pass
//	unlist PLACE [DURATION]  take hosts off the live list, for good or for a time
//	relist PLACE             put them back on the live list
//	hangReboot HOST          keep the host off the list after its next reboot begins
//	stayListed HOST          keep the host on the list while it is down
//	leaving HOST             list the host as leaving
//	notLeaving HOST          list the host as live again
//	stopConfirms ENTRY       stop an entry from confirming steps
//	resumeConfirms ENTRY     let the entry confirm again
//	freezeList               return the last live list from now on
//	unfreezeList             return new live lists again
//	loseObservations         continue with an entry that has no observations
//	explain HOST             print the explanation of a host
//	explainPool POOL         print the explanation of a pool
//	moves                    print the number of moves so far
//	pools                    print the pools
//	BODY                     apply an operator's record in protobuf text
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

// session executes one session and collects its output.
type session struct {
	*simulation
	out bytes.Buffer
}

// runSession returns the output of a session.
func runSession(t *testing.T, file string) string {
	a, err := txtar.ParseFile(file)
	assert.NilError(t, err)
	files := map[string][]byte{}
	for _, f := range a.Files {
		files[f.Name] = f.Data
	}
	c, err := config.Parse(files["fleet.ini"])
	assert.NilError(t, err)
	s := &session{simulation: newSimulation(t, c, plan.Plan)}
	s.onAccept = s.record
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

// record prints an accepted record, unless it is a confirmation.
func (s *session) record(r *record.Record) {
	if r.GetConfirm() != nil {
		return
	}
	c := &record.Record{Body: r.GetBody()}
	text := strings.Join(strings.Fields(prototext.MarshalOptions{Multiline: false}.Format(c)), " ")
	fmt.Fprintf(&s.out, "%v %s\n", s.now.Sub(_start), text)
}

// line executes one line.
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
	case "stopConfirms":
		s.confirmsStopped[rest] = true
	case "resumeConfirms":
		delete(s.confirmsStopped, rest)
	case "loseObservations":
		s.observations = plan.Observations{}
	default:
		r := new(record.Record)
		assert.NilError(s, prototext.Unmarshal([]byte(line), r), line)
		s.mustApply(r)
	}
}

// platformLine executes a line that changes the platform. It returns false for any
// other line.
func (s *session) platformLine(word, rest string) bool {
	place, duration, _ := strings.Cut(rest, " ")
	switch word {
	case "unlist":
		until := time.Time{}
		if duration != "" {
			d, err := time.ParseDuration(duration)
			assert.NilError(s, err)
			until = s.now.Add(d)
		}
		for _, h := range s.hostsIn(place) {
			s.offList[h] = until
		}
	case "relist":
		for _, h := range s.hostsIn(place) {
			delete(s.offList, h)
			delete(s.rebootHangs, h)
		}
	case "hangReboot":
		s.rebootHangs[rest] = true
	case "stayListed":
		s.staysListed[rest] = true
	case "leaving", "notLeaving":
		s.leaving[rest] = word == "leaving"
	case "freezeList", "unfreezeList":
		s.listFrozen = word == "freezeList"
	default:
		return false
	}
	return true
}

// printLine executes a line that prints. It returns false for any other line.
func (s *session) printLine(word, rest string) bool {
	switch word {
	case "explain":
		fmt.Fprintln(&s.out, plan.Explain(s.state, s.observations, rest, s.now))
	case "explainPool":
		fmt.Fprintln(&s.out, plan.ExplainPool(s.state, s.observations, rest, s.now))
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
