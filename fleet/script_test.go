package fleet_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"google.golang.org/protobuf/encoding/prototext"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"fescuelanding/fleet"
	"fescuelanding/fleet/config"
	"fescuelanding/fleet/record"
)

// TestScripts applies the records of each script and compares the outcomes and
// the last state with a golden file. A line of a script is one of
//
//	config FILE     change to the configuration in a file of the script
//	hold NAME BODY  make a record as its writer would now, but don't append it
//	append NAME     append a held record, again if it was appended before
//	BODY            make a record and append it
//
// where BODY is a record in protobuf text. Basis, planner's term, id and the
// offset of a confirmed step are filled in where the script leaves them out; the
// id "none" stands for no id.
func TestScripts(t *testing.T) {
	for _, dir := range []string{"guards", "moves"} {
		files, err := filepath.Glob(filepath.Join("testdata", dir, "*.txtar"))
		assert.NilError(t, err)
		assert.Assert(t, len(files) > 0)
		for _, f := range files {
			name := strings.TrimSuffix(filepath.Base(f), ".txtar")
			t.Run(dir+"/"+name, func(t *testing.T) {
				golden.Assert(t, runScript(t, f), filepath.Join(dir, name+".golden"))
			})
		}
	}
}

// script is a run of one script.
type script struct {
	*testing.T
	files map[string][]byte
	held  map[string]*record.Record
	state *fleet.State
	made  uint64
	out   bytes.Buffer

	planner fleet.Owner
}

// runScript returns the outcomes of a script's records and the state after them.
func runScript(t *testing.T, file string) string {
	a, err := txtar.ParseFile(file)
	assert.NilError(t, err)
	s := &script{T: t, files: map[string][]byte{}, held: map[string]*record.Record{}, state: new(fleet.State)}
	for _, f := range a.Files {
		s.files[f.Name] = f.Data
	}
	for line := range strings.Lines(string(s.files["records"])) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			s.line(line)
		}
	}
	s.dump()
	return s.out.String()
}

// line carries one line out.
func (s *script) line(line string) {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "config":
		s.append(line, s.configChange(rest))
	case "hold":
		name, body, _ := strings.Cut(rest, " ")
		s.held[name] = s.make(body)
	case "append":
		assert.Assert(s, s.held[rest] != nil, line)
		s.append(line, s.held[rest])
	default:
		s.append(line, s.make(line))
	}
}

// make returns the record of a body as it would be written now.
func (s *script) make(body string) *record.Record {
	r := new(record.Record)
	assert.NilError(s, prototext.Unmarshal([]byte(body), r), body)
	fill(s.state, r)
	s.made++
	switch string(r.GetId()) {
	case "":
		r.Id = binary.BigEndian.AppendUint64(nil, s.made)
	case "none":
		r.Id = nil
	}
	return r
}

// fill sets what a writer with this view would set.
func fill(s *fleet.State, r *record.Record) {
	if r.GetBasis() == 0 {
		r.Basis = s.Basis(r)
	}
	if o, ok := s.Owner(fleet.PlannerKey); ok && r.GetTerm() == 0 {
		r.Term = o.Term()
	}
	for _, c := range r.GetConfirm().GetSteps() {
		if h, ok := s.Host(c.GetHost()); ok && c.GetOffset() == 0 {
			c.Offset = h.Step()
		}
	}
}

// configChange returns the change to a configuration of the script.
func (s *script) configChange(file string) *record.Record {
	c, err := config.Parse(s.files[file])
	assert.NilError(s, err, file)
	r := s.make("")
	r.Body = &record.Record_ConfigChange{ConfigChange: s.state.Config().Diff(c)}
	r.Basis = s.state.ConfigOffset()
	return r
}

// append applies a record, notes its outcome and checks the state.
func (s *script) append(line string, r *record.Record) {
	before := s.state.Hosts()
	err := s.state.Apply(s.state.Offset()+1, r)
	fmt.Fprintf(&s.out, "%d %s: %s\n", s.state.Offset(), outcome(err), line)
	s.showPlanner()
	checkState(s, s.state)
	checkStep(s, s.state, before, r, err)
	o, err := fleet.Restore(s.state.Checkpoint(fleet.MaxChunk))
	assert.NilError(s, err)
	assert.Equal(s, string(o.Config().Text()), string(s.state.Config().Text()))
	assert.Equal(s, fmt.Sprint(o.Hosts(), o.Entries(), o.Recalls(), o.Waves()), fmt.Sprint(s.state.Hosts(), s.state.Entries(), s.state.Recalls(), s.state.Waves()))
}

// showPlanner writes the planner where the last record changed it.
func (s *script) showPlanner() {
	o, _ := s.state.Owner(fleet.PlannerKey)
	if o != s.planner {
		fmt.Fprintf(&s.out, "  planner %q incarnation %d term %d witness %q\n", o.Entry(), o.Incarnation(), o.Term(), o.Witness())
	}
	s.planner = o
}

// outcome names the result of Apply.
func outcome(err error) string {
	var r *fleet.Rejection
	if errors.As(err, &r) {
		return r.Reason().String()
	}
	if err != nil {
		return err.Error()
	}
	return "accepted"
}

// dump writes the state after the last record.
func (s *script) dump() {
	s.out.WriteString("\n")
	for _, e := range s.state.Entries() {
		fmt.Fprintf(&s.out, "entry %s incarnation %d leaving %t suspect %t\n", e.Name(), e.Incarnation(), e.Leaving(), e.Suspect())
	}
	for _, h := range s.state.Hosts() {
		w := s.state.Intent(h.Name())
		fmt.Fprintf(&s.out, "host %s in %s moving to %q %s step %d waits for %v wants drain %t pool %q\n", h.Name(), h.Pool(), h.MovingTo(), h.Duty(), h.Step(), s.state.UnconfirmedEntries(h.Name()), w.Drain(), w.ToPool())
	}
	for _, p := range s.state.Config().Pools() {
		n, _ := s.state.Pool(p.Name())
		fmt.Fprintf(&s.out, "pool %s total %d available %d incoming %d budget %d\n", n.Name(), n.Total(), n.Available(), n.Incoming(), n.Budget())
	}
	for _, r := range s.state.Recalls() {
		fmt.Fprintf(&s.out, "recall %s of %s: %+v\n", r.Name(), r.Batch(), r.Progress())
	}
	for _, w := range s.state.Waves() {
		fmt.Fprintf(&s.out, "wave %s of %v: %+v\n", w.Name(), w.Pools(), w.Progress())
	}
}

// checkState checks what holds after every record: each host is in one pool
// that is configured, the counts are those of the hosts, and a state restored
// from a checkpoint is the same.
func checkState(t assert.TestingT, s *fleet.State) {
	type counts struct{ total, available, incoming int }
	want := map[string]counts{}
	for _, h := range s.Hosts() {
		n := want[h.Pool()]
		n.total++
		if h.Duty() == fleet.Serving && h.MovingTo() == "" {
			n.available++
		}
		want[h.Pool()] = n
		if h.MovingTo() != "" {
			n := want[h.MovingTo()]
			n.incoming++
			want[h.MovingTo()] = n
		}
	}
	for _, p := range s.Config().Pools() {
		n, _ := s.Pool(p.Name())
		assert.Equal(t, counts{n.Total(), n.Available(), n.Incoming()}, want[p.Name()])
		delete(want, p.Name())
	}
	assert.Equal(t, len(want), 0)
	const smallChunk = 512
	o, err := fleet.Restore(s.Checkpoint(smallChunk))
	assert.NilError(t, err)
	assert.Equal(t, o.Digest(), s.Digest())
	assert.Equal(t, o.Offset(), s.Offset())
}

// checkStep checks a record that was accepted: a voluntary step leaves the
// budget, and a rejected record leaves the hosts as they were.
func checkStep(t assert.TestingT, s *fleet.State, before []fleet.Host, r *record.Record, err error) {
	after := s.Hosts()
	if err != nil {
		assert.Equal(t, fmt.Sprint(after), fmt.Sprint(before), prototext.Format(r))
		return
	}
	if r.GetHostDrain().GetCause() == record.Cause_CAUSE_LEAVING {
		return // The platform takes the host away: an involuntary loss.
	}
	for _, h := range before {
		if h.Name() != r.GetHostDrain().GetHost() && h.Name() != r.GetHostRelease().GetHost() || !h.Available() {
			continue
		}
		p, _ := s.Pool(h.Pool())
		assert.Assert(t, p.Available() >= p.Budget(), prototext.Format(r))
	}
}
