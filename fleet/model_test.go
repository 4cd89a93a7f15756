package fleet_test

import (
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fescuelanding/fleet"
	"fescuelanding/fleet/config"
	"fescuelanding/fleet/record"
)

// _seed makes the runs of the property tests reproducible. The flag -rapid.seed
// overrides it.
const _seed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", _seed); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestModel runs random actions of entries, planners and operators against one log.
// Entries read the log with delay, pause, crash and restart; records are appended
// late, twice or never. After every action, no request may be in flight on a host
// that is down or that is in another pool than when the request was sent.
func TestModel(t *testing.T) {
	accepted := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, accepted)
		const steps = 150
		for range steps {
			a := rapid.SampledFrom(_actions).Draw(t, "action")
			a.do(m)
			m.checkInFlight()
		}
		m.checkViews()
	})
	// The test proves nothing about a kind of record that was never accepted.
	for _, kind := range []string{"HostDown", "HostAssign", "HostFail", "EntryUnregister", "EntrySuspect", "EntryAlive", "ConfigChange", "WaveCancel"} {
		assert.Assert(t, accepted[kind] > 0, "no %s was accepted: %v", kind, accepted)
	}
	t.Log(accepted)
}

// action is an action that the model can draw.
type action struct {
	name string
	do   func(*model)
}

func (a action) String() string { return a.name }

var _actions = []action{
	{"read", func(m *model) { m.read(m.drawProcess()) }},
	{"read", func(m *model) { m.read(m.drawProcess()) }},
	{"send", func(m *model) { m.send(m.drawProcess()) }},
	{"send", func(m *model) { m.send(m.drawProcess()) }},
	{"finish", func(m *model) { m.finish(m.drawProcess()) }},
	{"confirm", func(m *model) { m.confirm(m.drawProcess()) }},
	{"catchUp", (*model).catchUp},
	{"catchUp", (*model).catchUp},
	{"plan", (*model).plan},
	{"plan", (*model).plan},
	{"plan", (*model).plan},
	{"plan", (*model).plan},
	{"suspect", func(m *model) { m.suspect(m.drawProcess()) }},
	{"alive", func(m *model) { m.alive(m.drawProcess()) }},
	{"restartOrLeave", (*model).restartOrLeave},
	{"operate", (*model).operate},
	{"operate", (*model).operate},
	{"duplicate", (*model).duplicate},
	{"restore", func(m *model) { m.restore(m.drawProcess()) }},
}

// model is the log, the state after all its records, and the processes that read
// it.
type model struct {
	*rapid.T
	log        []*record.Record
	reference  *fleet.State
	processes  []*process
	delayed    []*record.Record // Appended late, again or never.
	lastNumber uint64
	accepted   map[string]int
}

// process is a process of an entry. It acts only on its own view of the log.
type process struct {
	entry       string
	incarnation uint64
	address     string
	view        *fleet.State
	inFlight    map[string]string // By host: the pool for which a request was sent to it.
	dead        bool
	leaving     bool
}

// ready reports whether the process accepts requests: it has applied its own
// registration and isn't shutting down.
func (p *process) ready() bool {
	e, ok := p.view.Entry(p.entry)
	return ok && e.Incarnation() == p.incarnation && !p.leaving && !p.dead
}

func newModel(t *rapid.T, accepted map[string]int) *model {
	m := &model{T: t, reference: new(fleet.State), accepted: accepted}
	text, err := os.ReadFile("testdata/model.ini")
	assert.NilError(t, err)
	c, err := config.Parse(text)
	assert.NilError(t, err)
	m.append(&record.Record{Body: &record.Record_ConfigChange{ConfigChange: config.Config{}.Diff(c)}})
	for i := range 3 {
		p := m.startProcess(fmt.Sprintf("e%d", i+1), fmt.Sprintf("10.0.0.%d:1", i+1))
		m.append(m.registration(p))
		m.readTo(p, len(m.log))
	}
	return m
}

// startProcess adds a process that has read the whole log.
func (m *model) startProcess(entry, address string) *process {
	m.lastNumber++
	p := &process{entry: entry, incarnation: m.lastNumber, address: address, view: new(fleet.State), inFlight: map[string]string{}}
	m.processes = append(m.processes, p)
	m.readTo(p, len(m.log))
	return p
}

func (m *model) registration(p *process) *record.Record {
	return m.complete(p.view, p.entry, &record.Record{Body: &record.Record_EntryRegister{EntryRegister: &record.EntryRegister{
		Entry: p.entry, Incarnation: p.incarnation, PeerAddress: p.address,
	}}})
}

// complete sets the fields that a writer with this view sets.
func (m *model) complete(view *fleet.State, writer string, r *record.Record) *record.Record {
	m.lastNumber++
	r.Id = binary.BigEndian.AppendUint64(nil, m.lastNumber)
	r.Writer = writer
	fill(view, r)
	return r
}

// drawProcess returns a live process; it starts one if there is none.
func (m *model) drawProcess() *process {
	var alive []*process
	for _, p := range m.processes {
		if !p.dead {
			alive = append(alive, p)
		}
	}
	if len(alive) == 0 {
		return m.startProcess("e1", "10.0.0.1:1")
	}
	return rapid.SampledFrom(alive).Draw(m.T, "process")
}

// submit appends a record, or holds it back, or does both. A held record may be
// appended later by duplicate.
func (m *model) submit(r *record.Record) {
	switch rapid.IntRange(0, 9).Draw(m.T, "delivery") {
	case 0:
		m.delayed = append(m.delayed, r)
	case 1:
		m.append(r)
		m.delayed = append(m.delayed, r)
	default:
		m.append(r)
	}
}

// append appends a record to the log and checks its effect.
func (m *model) append(r *record.Record) {
	m.log = append(m.log, r)
	before := m.reference.Hosts()
	err := m.reference.Apply(uint64(len(m.log)), r)
	checkStep(m.T, m.reference, before, r, err)
	if err == nil {
		checkState(m.T, m.reference)
		m.accepted[kind(r)]++
	}
	var j *fleet.Rejection
	assert.Assert(m.T, err == nil || errors.As(err, &j))
}

// kind returns the name of the record's body type.
func kind(r *record.Record) string {
	return fmt.Sprintf("%T", r.GetBody())[len("*record.Record_"):]
}

// readTo lets a process apply the log up to an offset and checks its digests.
func (m *model) readTo(p *process, offset int) {
	for i := int(p.view.Offset()); i < offset; i++ {
		_ = p.view.Apply(uint64(i+1), m.log[i])
		want, ok := m.reference.DigestAt(uint64(i + 1))
		assert.Assert(m.T, ok)
		assert.Equal(m.T, p.view.Digest(), want)
	}
}

func (m *model) read(p *process) {
	m.readTo(p, rapid.IntRange(int(p.view.Offset()), len(m.log)).Draw(m.T, "offset"))
}

// send starts a request to a host if the process's view allows it.
func (m *model) send(p *process) {
	h, ok := p.view.Host(m.drawHost())
	if _, busy := p.inFlight[h.Name()]; ok && !busy && p.ready() && h.Available() {
		p.inFlight[h.Name()] = h.Pool()
	}
}

func (m *model) finish(p *process) { delete(p.inFlight, m.drawHost()) }

// confirm submits confirmations of the steps on whose hosts the process has no
// request in flight.
func (m *model) confirm(p *process) {
	var steps []*record.StepRef
	for _, h := range p.view.Hosts() {
		if _, busy := p.inFlight[h.Name()]; !busy && h.Step() != 0 && !h.Confirmed(p.entry) {
			steps = append(steps, &record.StepRef{Host: h.Name(), Offset: h.Step()})
		}
	}
	if len(steps) > 0 {
		m.submit(m.complete(p.view, p.entry, &record.Record{Body: &record.Record_Confirm{Confirm: &record.Confirm{
			Entry: p.entry, Incarnation: p.incarnation, Steps: steps,
		}}}))
	}
}

// catchUp lets all live processes read the whole log, finish their requests and
// confirm all steps.
func (m *model) catchUp() {
	for _, p := range m.processes {
		if !p.dead {
			m.readTo(p, len(m.log))
			clear(p.inFlight)
			m.confirm(p)
		}
	}
}

func (m *model) drawHost() string {
	return rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(m.T, "host")
}

func (m *model) drawPool() string {
	return rapid.SampledFrom([]string{"fitting", "spare"}).Draw(m.T, "pool")
}

// plan lets every process that is the planner in its own view submit a step: any
// step, or one that is valid in its view.
func (m *model) plan() {
	for _, p := range m.processes {
		o, ok := p.view.Owner(fleet.PlannerKey)
		if p.dead || !ok || o.Entry() != p.entry || o.Incarnation() != p.incarnation {
			continue
		}
		h, _ := p.view.Host(m.drawHost())
		steps := m.validSteps(h)
		if rapid.IntRange(0, 4).Draw(m.T, "any") == 0 {
			steps = m.allSteps(m.drawHost())
		}
		m.submit(m.complete(p.view, p.entry, rapid.SampledFrom(steps).Draw(m.T, "step")))
	}
}

// allSteps returns a step of every kind.
func (m *model) allSteps(h string) []*record.Record {
	return []*record.Record{
		{Body: &record.Record_HostDrain{HostDrain: &record.HostDrain{Host: h, Cause: record.Cause_CAUSE_OPERATOR}}},
		{Body: &record.Record_HostRelease{HostRelease: &record.HostRelease{Host: h, ToPool: m.drawPool()}}},
		{Body: &record.Record_HostAssign{HostAssign: &record.HostAssign{Host: h, ToPool: m.drawPool()}}},
		{Body: &record.Record_HostKeep{HostKeep: &record.HostKeep{Host: h}}},
		{Body: &record.Record_HostDown{HostDown: &record.HostDown{Host: h}}},
		{Body: &record.Record_HostServe{HostServe: &record.HostServe{Host: h}}},
		{Body: &record.Record_HostServe{HostServe: &record.HostServe{Host: h, Maintained: true}}},
		{Body: &record.Record_HostFail{HostFail: &record.HostFail{Host: h}}},
	}
}

// validSteps returns the steps that the host's state allows. A step that is listed
// more than once is drawn more often.
func (m *model) validSteps(h fleet.Host) []*record.Record {
	all := m.allSteps(h.Name())
	drain, release, assign, keep, down, serve, maintained, fail := all[0], all[1], all[2], all[3], all[4], all[5], all[6], all[7]
	assign.GetHostAssign().ToPool = h.MovingTo()
	switch {
	case h.MovingTo() != "":
		return []*record.Record{assign, assign, assign, keep, fail}
	case h.Duty() == fleet.Serving:
		return []*record.Record{drain, release, release, fail}
	case h.Duty() == fleet.Draining:
		return []*record.Record{down, down, serve, fail}
	default:
		return []*record.Record{serve, maintained, release}
	}
}

// suspect suspects an entry, or unregisters a suspected one whose process is dead.
func (m *model) suspect(p *process) {
	e, ok := p.view.Entry(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(m.T, "suspected entry"))
	if !ok {
		return
	}
	r := &record.Record{Body: &record.Record_EntrySuspect{EntrySuspect: &record.EntrySuspect{Entry: e.Name(), Incarnation: e.Incarnation()}}}
	if e.Suspect() && m.isDead(e) {
		cause := rapid.SampledFrom([]record.UnregisterCause{
			record.UnregisterCause_UNREGISTER_CAUSE_LOST, record.UnregisterCause_UNREGISTER_CAUSE_OPERATOR,
		}).Draw(m.T, "cause")
		r = &record.Record{Body: &record.Record_EntryUnregister{EntryUnregister: &record.EntryUnregister{Entry: e.Name(), Incarnation: e.Incarnation(), Cause: cause}}}
	}
	m.submit(m.complete(p.view, p.entry, r))
}

func (m *model) isDead(e fleet.Entry) bool {
	for _, p := range m.processes {
		if p.entry == e.Name() && p.incarnation == e.Incarnation() {
			return p.dead
		}
	}
	return true
}

func (m *model) alive(p *process) {
	m.submit(m.complete(p.view, p.entry, &record.Record{Body: &record.Record_EntryAlive{EntryAlive: &record.EntryAlive{Entry: p.entry, Incarnation: p.incarnation}}}))
}

// restart starts another process of an entry, either at the same address, which
// means that the old process has ended, or at another address while the old one may
// still run.
func (m *model) restart() {
	old := rapid.SampledFrom(m.processes).Draw(m.T, "old")
	address := old.address
	if rapid.Bool().Draw(m.T, "moved") {
		address += "9"
	}
	for _, p := range m.processes {
		if p.address == address && !p.dead {
			p.dead = true
		}
	}
	m.submit(m.registration(m.startProcess(old.entry, address)))
}

// restartOrLeave restarts an entry, lets one shut down gracefully, or does neither.
func (m *model) restartOrLeave() {
	switch rapid.IntRange(0, 2).Draw(m.T, "restartOrLeave") {
	case 0:
		m.restart()
	case 1:
		m.leave(m.drawProcess())
	}
}

// leave begins a graceful shutdown, or completes it if no request is in flight.
func (m *model) leave(p *process) {
	if !p.leaving {
		p.leaving = true
		m.submit(m.complete(p.view, p.entry, &record.Record{Body: &record.Record_EntryLeaving{EntryLeaving: &record.EntryLeaving{Entry: p.entry, Incarnation: p.incarnation}}}))
		return
	}
	if len(p.inFlight) == 0 {
		m.submit(m.complete(p.view, p.entry, &record.Record{Body: &record.Record_EntryUnregister{EntryUnregister: &record.EntryUnregister{
			Entry: p.entry, Incarnation: p.incarnation, Cause: record.UnregisterCause_UNREGISTER_CAUSE_LEFT,
		}}}))
	}
}

// operate submits an operator's command, based on an entry's view.
func (m *model) operate() {
	v := m.drawProcess().view
	h := m.drawHost()
	commands := []*record.Record{
		{Body: &record.Record_DrainIntent{DrainIntent: &record.DrainIntent{Host: h, Drain: rapid.Bool().Draw(m.T, "drain")}}},
		{Body: &record.Record_MoveIntent{MoveIntent: &record.MoveIntent{Host: h, ToPool: m.drawPool()}}},
		{Body: &record.Record_RecallStart{RecallStart: &record.RecallStart{Recall: "r", Batch: "b1"}}},
		{Body: &record.Record_RecallCancel{RecallCancel: &record.RecallCancel{Recall: "r"}}},
		{Body: &record.Record_WaveStart{WaveStart: &record.WaveStart{Wave: "w"}}},
		{Body: &record.Record_WaveCancel{WaveCancel: &record.WaveCancel{Wave: "w"}}},
		{Body: &record.Record_ConfigChange{ConfigChange: m.budgetChange(v)}},
		{Body: &record.Record_ConfigChange{ConfigChange: m.hostChange(v, h)}},
		{Body: &record.Record_ConfigChange{ConfigChange: m.hostChange(v, h)}},
	}
	m.submit(m.complete(v, "operator", rapid.SampledFrom(commands).Draw(m.T, "command")))
}

// budgetChange changes the budget of a pool.
func (m *model) budgetChange(v *fleet.State) *record.ConfigChange {
	return m.settingChange(v, "pool", "fitting", "minAvailable", fmt.Sprint(rapid.IntRange(0, 2).Draw(m.T, "budget")))
}

// hostChange removes a host, or adds it again with any home pool.
func (m *model) hostChange(v *fleet.State, host string) *record.ConfigChange {
	if _, ok := v.Config().Host(host); ok {
		return &record.ConfigChange{Removed: []*record.SectionRef{{Kind: "host", Name: host}}}
	}
	var s fleet.State
	assert.NilError(m.T, s.Apply(1, m.log[0]))
	return m.settingChange(&s, "host", host, "home", m.drawPool())
}

// settingChange returns the change of one setting in a section.
func (m *model) settingChange(v *fleet.State, kind, name, key, value string) *record.ConfigChange {
	for _, s := range v.Config().Sections() {
		if s.GetKind() != kind || s.GetName() != name {
			continue
		}
		for _, k := range s.GetSettings() {
			if k.GetKey() == key {
				k.Value = value
			}
		}
		return &record.ConfigChange{Set: []*record.Section{s}}
	}
	return &record.ConfigChange{}
}

// duplicate appends a record that was held back, or one that is in the log already.
func (m *model) duplicate() {
	all := append(append([]*record.Record{}, m.delayed...), m.log...)
	m.append(rapid.SampledFrom(all).Draw(m.T, "duplicate"))
}

// restore replaces a process's view by one restored from a checkpoint of another
// process.
func (m *model) restore(p *process) {
	o := m.drawProcess()
	if o.view.Offset() < p.view.Offset() {
		return
	}
	const chunk = 1024
	s, err := fleet.Restore(o.view.Checkpoint(chunk))
	assert.NilError(m.T, err)
	p.view = s
}

// checkInFlight checks for each request that its host isn't down and is still in
// the pool for which the request was sent.
func (m *model) checkInFlight() {
	for _, p := range m.processes {
		if p.dead {
			continue
		}
		for name, pool := range p.inFlight {
			h, ok := m.reference.Host(name)
			assert.Assert(m.T, ok, "host %s was removed while %s had a request in flight", name, p.entry)
			assert.Equal(m.T, h.Pool(), pool, "host %s, entry %s", name, p.entry)
			assert.Assert(m.T, h.Duty() != fleet.Down, "host %s is down while %s has a request in flight", name, p.entry)
		}
	}
}

// checkViews checks that all processes reach the same state at the end of the log.
func (m *model) checkViews() {
	for _, p := range m.processes {
		m.readTo(p, len(m.log))
	}
}
