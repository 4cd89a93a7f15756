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

// _seed makes each run of the property tests the same, unless the command line
// gives another.
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

// TestModel runs entries with views that lag, requests in flight, planners,
// operators, pauses, deaths, and appends that are late, repeated or lost,
// against one log. After every step no request is in flight on a host that is
// down or in another pool than the one it was sent for.
func TestModel(t *testing.T) {
	accepted := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, accepted)
		const steps = 150
		for range steps {
			a := rapid.SampledFrom(_actions).Draw(t, "action")
			a.do(w)
			w.checkInFlight()
		}
		w.checkViews()
	})
	// The run must have gone through what it is for.
	for _, kind := range []string{"HostDown", "HostAssign", "HostFail", "EntryUnregister", "EntrySuspect", "EntryAlive", "ConfigChange", "WaveCancel"} {
		assert.Assert(t, accepted[kind] > 0, "no %s was accepted: %v", kind, accepted)
	}
	t.Log(accepted)
}

// action is something that may happen in the model.
type action struct {
	name string
	do   func(*world)
}

func (a action) String() string { return a.name }

var _actions = []action{
	{"read", func(w *world) { w.read(w.anyProcess()) }},
	{"read", func(w *world) { w.read(w.anyProcess()) }},
	{"send", func(w *world) { w.send(w.anyProcess()) }},
	{"send", func(w *world) { w.send(w.anyProcess()) }},
	{"finish", func(w *world) { w.finish(w.anyProcess()) }},
	{"confirm", func(w *world) { w.confirm(w.anyProcess()) }},
	{"settle", (*world).settle},
	{"settle", (*world).settle},
	{"plan", (*world).plan},
	{"plan", (*world).plan},
	{"plan", (*world).plan},
	{"plan", (*world).plan},
	{"accuse", func(w *world) { w.accuse(w.anyProcess()) }},
	{"alive", func(w *world) { w.alive(w.anyProcess()) }},
	{"turnover", (*world).turnover},
	{"operate", (*world).operate},
	{"operate", (*world).operate},
	{"repeat", (*world).repeat},
	{"restore", func(w *world) { w.restore(w.anyProcess()) }},
}

// world is the log, what it says, and the processes that read it.
type world struct {
	*rapid.T
	log       []*record.Record
	truth     *fleet.State
	processes []*process
	held      []*record.Record // Made, and appended late or never.
	made      uint64
	accepted  map[string]int
}

// process is a process of an entry. It acts on its own view alone.
type process struct {
	entry       string
	incarnation uint64
	address     string
	view        *fleet.State
	inFlight    map[string]string // Pool for which a host has a request.
	dead        bool
	leaving     bool
}

// ready reports whether the process takes requests: it has applied its own
// registration and doesn't leave.
func (p *process) ready() bool {
	e, ok := p.view.Entry(p.entry)
	return ok && e.Incarnation() == p.incarnation && !p.leaving && !p.dead
}

func newWorld(t *rapid.T, accepted map[string]int) *world {
	w := &world{T: t, truth: new(fleet.State), accepted: accepted}
	text, err := os.ReadFile("testdata/model.ini")
	assert.NilError(t, err)
	c, err := config.Parse(text)
	assert.NilError(t, err)
	w.append(&record.Record{Body: &record.Record_ConfigChange{ConfigChange: config.Config{}.Diff(c)}})
	for i := range 3 {
		p := w.start(fmt.Sprintf("e%d", i+1), fmt.Sprintf("10.0.0.%d:1", i+1))
		w.append(w.registration(p))
		w.readTo(p, len(w.log))
	}
	return w
}

// start adds a process that has read the log so far.
func (w *world) start(entry, address string) *process {
	w.made++
	p := &process{entry: entry, incarnation: w.made, address: address, view: new(fleet.State), inFlight: map[string]string{}}
	w.processes = append(w.processes, p)
	w.readTo(p, len(w.log))
	return p
}

func (w *world) registration(p *process) *record.Record {
	return w.filled(p.view, p.entry, &record.Record{Body: &record.Record_EntryRegister{EntryRegister: &record.EntryRegister{
		Entry: p.entry, Incarnation: p.incarnation, PeerAddress: p.address,
	}}})
}

// filled sets what a writer with this view sets.
func (w *world) filled(view *fleet.State, writer string, r *record.Record) *record.Record {
	w.made++
	r.Id = binary.BigEndian.AppendUint64(nil, w.made)
	r.Writer = writer
	fill(view, r)
	return r
}

// anyProcess returns a process that isn't dead, if there is one.
func (w *world) anyProcess() *process {
	var alive []*process
	for _, p := range w.processes {
		if !p.dead {
			alive = append(alive, p)
		}
	}
	if len(alive) == 0 {
		return w.start("e1", "10.0.0.1:1")
	}
	return rapid.SampledFrom(alive).Draw(w.T, "process")
}

// submit appends a record, or loses it, or delays it, or appends it twice.
func (w *world) submit(r *record.Record) {
	switch rapid.IntRange(0, 9).Draw(w.T, "fate") {
	case 0:
		w.held = append(w.held, r)
	case 1:
		w.append(r)
		w.held = append(w.held, r)
	default:
		w.append(r)
	}
}

// append puts a record into the log and checks what it does.
func (w *world) append(r *record.Record) {
	w.log = append(w.log, r)
	before := w.truth.Hosts()
	err := w.truth.Apply(uint64(len(w.log)), r)
	checkStep(w.T, w.truth, before, r, err)
	if err == nil {
		checkState(w.T, w.truth)
		w.accepted[kind(r)]++
	}
	var j *fleet.Rejection
	assert.Assert(w.T, err == nil || errors.As(err, &j))
}

// kind names a record's body.
func kind(r *record.Record) string {
	return fmt.Sprintf("%T", r.GetBody())[len("*record.Record_"):]
}

// readTo lets a process read the log as far as an offset.
func (w *world) readTo(p *process, offset int) {
	for i := int(p.view.Offset()); i < offset; i++ {
		_ = p.view.Apply(uint64(i+1), w.log[i])
		want, ok := w.truth.DigestAt(uint64(i + 1))
		assert.Assert(w.T, ok)
		assert.Equal(w.T, p.view.Digest(), want)
	}
}

func (w *world) read(p *process) {
	w.readTo(p, rapid.IntRange(int(p.view.Offset()), len(w.log)).Draw(w.T, "offset"))
}

// send starts a request where the view allows it.
func (w *world) send(p *process) {
	h, ok := p.view.Host(w.host())
	if _, busy := p.inFlight[h.Name()]; ok && !busy && p.ready() && h.Available() {
		p.inFlight[h.Name()] = h.Pool()
	}
}

func (w *world) finish(p *process) { delete(p.inFlight, w.host()) }

// confirm says what a process has nothing in flight for.
func (w *world) confirm(p *process) {
	var steps []*record.StepRef
	for _, h := range p.view.Hosts() {
		if _, busy := p.inFlight[h.Name()]; !busy && h.Step() != 0 && !h.Confirmed(p.entry) {
			steps = append(steps, &record.StepRef{Host: h.Name(), Offset: h.Step()})
		}
	}
	if len(steps) > 0 {
		w.submit(w.filled(p.view, p.entry, &record.Record{Body: &record.Record_Confirm{Confirm: &record.Confirm{
			Entry: p.entry, Incarnation: p.incarnation, Steps: steps,
		}}}))
	}
}

// settle lets all processes read the log, finish and confirm.
func (w *world) settle() {
	for _, p := range w.processes {
		if !p.dead {
			w.readTo(p, len(w.log))
			clear(p.inFlight)
			w.confirm(p)
		}
	}
}

func (w *world) host() string {
	return rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(w.T, "host")
}

func (w *world) pool() string {
	return rapid.SampledFrom([]string{"fitting", "spare"}).Draw(w.T, "pool")
}

// plan lets a process that holds itself for the planner propose a step: any, or
// one that fits what it sees.
func (w *world) plan() {
	for _, p := range w.processes {
		o, ok := p.view.Owner(fleet.PlannerKey)
		if p.dead || !ok || o.Entry() != p.entry || o.Incarnation() != p.incarnation {
			continue
		}
		h, _ := p.view.Host(w.host())
		steps := w.fitting(h)
		if rapid.IntRange(0, 4).Draw(w.T, "any") == 0 {
			steps = w.anyStep(w.host())
		}
		w.submit(w.filled(p.view, p.entry, rapid.SampledFrom(steps).Draw(w.T, "step")))
	}
}

// anyStep returns steps of every kind.
func (w *world) anyStep(h string) []*record.Record {
	return []*record.Record{
		{Body: &record.Record_HostDrain{HostDrain: &record.HostDrain{Host: h, Cause: record.Cause_CAUSE_OPERATOR}}},
		{Body: &record.Record_HostRelease{HostRelease: &record.HostRelease{Host: h, ToPool: w.pool()}}},
		{Body: &record.Record_HostAssign{HostAssign: &record.HostAssign{Host: h, ToPool: w.pool()}}},
		{Body: &record.Record_HostKeep{HostKeep: &record.HostKeep{Host: h}}},
		{Body: &record.Record_HostDown{HostDown: &record.HostDown{Host: h}}},
		{Body: &record.Record_HostServe{HostServe: &record.HostServe{Host: h}}},
		{Body: &record.Record_HostServe{HostServe: &record.HostServe{Host: h, Maintained: true}}},
		{Body: &record.Record_HostFail{HostFail: &record.HostFail{Host: h}}},
	}
}

// fitting returns the steps that a host is in a state for.
func (w *world) fitting(h fleet.Host) []*record.Record {
	all := w.anyStep(h.Name())
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

// accuse suspects an entry, or unregisters one whose process is dead.
func (w *world) accuse(p *process) {
	e, ok := p.view.Entry(rapid.SampledFrom([]string{"e1", "e2", "e3"}).Draw(w.T, "accused"))
	if !ok {
		return
	}
	r := &record.Record{Body: &record.Record_EntrySuspect{EntrySuspect: &record.EntrySuspect{Entry: e.Name(), Incarnation: e.Incarnation()}}}
	if e.Suspect() && w.isDead(e) {
		cause := rapid.SampledFrom([]record.UnregisterCause{
			record.UnregisterCause_UNREGISTER_CAUSE_LOST, record.UnregisterCause_UNREGISTER_CAUSE_OPERATOR,
		}).Draw(w.T, "cause")
		r = &record.Record{Body: &record.Record_EntryUnregister{EntryUnregister: &record.EntryUnregister{Entry: e.Name(), Incarnation: e.Incarnation(), Cause: cause}}}
	}
	w.submit(w.filled(p.view, p.entry, r))
}

func (w *world) isDead(e fleet.Entry) bool {
	for _, p := range w.processes {
		if p.entry == e.Name() && p.incarnation == e.Incarnation() {
			return p.dead
		}
	}
	return true
}

func (w *world) alive(p *process) {
	w.submit(w.filled(p.view, p.entry, &record.Record{Body: &record.Record_EntryAlive{EntryAlive: &record.EntryAlive{Entry: p.entry, Incarnation: p.incarnation}}}))
}

// restart starts another process of an entry: on the address of one that has
// ended, or on another address while that one may still run.
func (w *world) restart() {
	old := rapid.SampledFrom(w.processes).Draw(w.T, "old")
	address := old.address
	if rapid.Bool().Draw(w.T, "moved") {
		address += "9"
	}
	for _, p := range w.processes {
		if p.address == address && !p.dead {
			p.dead = true
		}
	}
	w.submit(w.registration(w.start(old.entry, address)))
}

// turnover restarts an entry, lets one leave, or does neither.
func (w *world) turnover() {
	switch rapid.IntRange(0, 2).Draw(w.T, "turnover") {
	case 0:
		w.restart()
	case 1:
		w.leave(w.anyProcess())
	}
}

// leave begins a graceful shutdown, or ends it when nothing is in flight.
func (w *world) leave(p *process) {
	if !p.leaving {
		p.leaving = true
		w.submit(w.filled(p.view, p.entry, &record.Record{Body: &record.Record_EntryLeaving{EntryLeaving: &record.EntryLeaving{Entry: p.entry, Incarnation: p.incarnation}}}))
		return
	}
	if len(p.inFlight) == 0 {
		w.submit(w.filled(p.view, p.entry, &record.Record{Body: &record.Record_EntryUnregister{EntryUnregister: &record.EntryUnregister{
			Entry: p.entry, Incarnation: p.incarnation, Cause: record.UnregisterCause_UNREGISTER_CAUSE_LEFT,
		}}}))
	}
}

// operate appends what an operator wants, as seen through an entry.
func (w *world) operate() {
	v := w.anyProcess().view
	h := w.host()
	wants := []*record.Record{
		{Body: &record.Record_DrainIntent{DrainIntent: &record.DrainIntent{Host: h, Drain: rapid.Bool().Draw(w.T, "drain")}}},
		{Body: &record.Record_MoveIntent{MoveIntent: &record.MoveIntent{Host: h, ToPool: w.pool()}}},
		{Body: &record.Record_RecallStart{RecallStart: &record.RecallStart{Recall: "r", Batch: "b1"}}},
		{Body: &record.Record_RecallCancel{RecallCancel: &record.RecallCancel{Recall: "r"}}},
		{Body: &record.Record_WaveStart{WaveStart: &record.WaveStart{Wave: "w"}}},
		{Body: &record.Record_WaveCancel{WaveCancel: &record.WaveCancel{Wave: "w"}}},
		{Body: &record.Record_ConfigChange{ConfigChange: w.budget(v)}},
		{Body: &record.Record_ConfigChange{ConfigChange: w.hostChange(v, h)}},
		{Body: &record.Record_ConfigChange{ConfigChange: w.hostChange(v, h)}},
	}
	w.submit(w.filled(v, "operator", rapid.SampledFrom(wants).Draw(w.T, "want")))
}

// budget changes the budget of a pool.
func (w *world) budget(v *fleet.State) *record.ConfigChange {
	return w.edited(v, "pool", "fitting", "minAvailable", fmt.Sprint(rapid.IntRange(0, 2).Draw(w.T, "budget")))
}

// hostChange removes a host, or adds it with any home.
func (w *world) hostChange(v *fleet.State, host string) *record.ConfigChange {
	if _, ok := v.Config().Host(host); ok {
		return &record.ConfigChange{Removed: []*record.SectionRef{{Kind: "host", Name: host}}}
	}
	var s fleet.State
	assert.NilError(w.T, s.Apply(1, w.log[0]))
	return w.edited(&s, "host", host, "home", w.pool())
}

// edited returns the change of one key in a section.
func (w *world) edited(v *fleet.State, kind, name, key, value string) *record.ConfigChange {
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

// repeat appends a record again that was delayed, or that is in the log already.
func (w *world) repeat() {
	all := append(append([]*record.Record{}, w.held...), w.log...)
	w.append(rapid.SampledFrom(all).Draw(w.T, "repeated"))
}

// restore replaces a view by one restored from another process's checkpoint.
func (w *world) restore(p *process) {
	o := w.anyProcess()
	if o.view.Offset() < p.view.Offset() {
		return
	}
	const chunk = 1024
	s, err := fleet.Restore(o.view.Checkpoint(chunk))
	assert.NilError(w.T, err)
	p.view = s
}

// checkInFlight checks that each request is where it was sent for, on a host
// that isn't down.
func (w *world) checkInFlight() {
	for _, p := range w.processes {
		if p.dead {
			continue
		}
		for name, pool := range p.inFlight {
			h, ok := w.truth.Host(name)
			assert.Assert(w.T, ok, "host %s was removed under a request of %s", name, p.entry)
			assert.Equal(w.T, h.Pool(), pool, "host %s, entry %s", name, p.entry)
			assert.Assert(w.T, h.Duty() != fleet.Down, "host %s is down under a request of %s", name, p.entry)
		}
	}
}

// checkViews checks that all processes come to the same state.
func (w *world) checkViews() {
	for _, p := range w.processes {
		w.readTo(p, len(w.log))
	}
}
