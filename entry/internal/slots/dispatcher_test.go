package slots

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/internal/duty"
	"fescuelanding/entry/internal/view"
	"fescuelanding/entry/internal/viewtest"
	"fescuelanding/entry/keys"
	"fescuelanding/fleet/platform"
	"fescuelanding/fleet/record"
)

const (
	_shortWait = 200 * time.Millisecond
	_timeout   = 3 * time.Second
)

var errNoAnswer = errors.New("entry does not answer")

// harness is a dispatcher with scripted entries and a scripted log.
type harness struct {
	Dispatcher
	fleet viewtest.Fleet

	mu          sync.Mutex
	unreachable map[string]bool
	holds       map[string][]broker.Hold
	offset      uint64
	records     []*keys.Record
	// log determines whether an append is stored, and the error it returns.
	log func(*keys.Record) (bool, error)
}

// newHarness returns the dispatcher of the entry that owns the pool fitting, in
// a fleet of three entries.
func newHarness(t *testing.T) *harness {
	s := &harness{unreachable: map[string]bool{}, holds: map[string][]broker.Hold{}}
	s.log = func(*keys.Record) (bool, error) { return true, nil }
	s.fleet.Configure(t, viewtest.Small)
	for i, n := range []string{"e1", "e2", "e3"} {
		s.fleet.Register(t, n, uint64(i+1))
	}
	o, _ := s.fleet.View().Broker("fitting")
	s.Dispatcher = Dispatcher{Self: broker.Entry{Name: o.Entry(), Incarnation: o.Incarnation()}, FetchHolds: s.fetch, Append: s.append}
	assert.NilError(t, s.Start(duty.System(nil)))
	t.Cleanup(s.Stop)
	return s
}

func (s *harness) fetch(_ context.Context, entry, _ string, _ uint64) ([]broker.Hold, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable[entry] {
		return nil, errNoAnswer
	}
	return s.holds[entry], nil
}

func (s *harness) append(_ context.Context, r *keys.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	store, err := s.log(r)
	if store {
		s.store(r)
	}
	return err
}

// store appends a record to the stream and has the dispatcher read it. The
// caller must hold s.mu.
func (s *harness) store(r *keys.Record) {
	s.offset++
	s.records = append(s.records, r)
	b, err := proto.Marshal(r)
	if err != nil {
		panic(err)
	}
	s.ApplyKeys([]platform.Record{platform.NewRecord(s.offset, b)})
}

// ask asks for a slot and gives up after wait. Key 0 stands for a request
// without a key.
func (s *harness) ask(request uint64, key byte, wait time.Duration) (broker.Op, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	a := broker.Ask{
		Request: request, Entry: s.Self, Service: "kitHold", Class: "counter", Team: "desk",
		Idempotent: key == 0, Deadline: time.Now().Add(_timeout),
	}
	if key != 0 {
		a.Key = keys.Key{key}
	}
	return s.Ask(ctx, "fitting", a)
}

func TestPoolOfAnotherEntryIsRefused(t *testing.T) {
	s := newHarness(t)
	_, err := s.ask(1, 0, _timeout)
	assert.ErrorIs(t, err, ErrNotOwner)
}

// otherEntries returns the names of the entries other than the dispatcher's
// own.
func (s *harness) otherEntries() []string {
	var l []string
	for _, e := range s.fleet.View().Entries() {
		if e.Name() != s.Self.Name {
			l = append(l, e.Name())
		}
	}
	return l
}

func TestSlotsCountAsTakenUntilAllReported(t *testing.T) {
	s := newHarness(t)
	other := s.otherEntries()[0]
	s.unreachable[other] = true
	s.SetView(s.fleet.View())
	_, err := s.ask(1, 0, _shortWait)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	s.mu.Lock()
	s.unreachable[other] = false
	s.mu.Unlock()
	o, err := s.ask(2, 0, _timeout)
	assert.NilError(t, err)
	_, is := o.(broker.Grant)
	assert.Assert(t, is, "%#v", o)
}

func TestReportedSlotsAreTaken(t *testing.T) {
	s := newHarness(t)
	other := s.otherEntries()[0]
	e, _ := s.fleet.View().Entry(other)
	for i, h := range []string{"h1", "h1", "h2"} {
		s.holds[other] = append(s.holds[other], broker.Hold{
			Slot: uint64(100 + i), Host: h, Class: "counter", Team: "desk",
			Entry: broker.Entry{Name: other, Incarnation: e.Incarnation()}, Until: time.Now().Add(_timeout),
		})
	}
	s.SetView(s.fleet.View())
	o, err := s.ask(1, 0, _timeout)
	assert.NilError(t, err)
	assert.Equal(t, o.(broker.Grant).Host, "h2")
	_, err = s.ask(2, 0, _shortWait)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	s.Done("fitting", 100, broker.Result{Outcome: broker.Answered})
	o, err = s.ask(3, 0, _timeout)
	assert.NilError(t, err)
	assert.Equal(t, o.(broker.Grant).Host, "h1")
}

// TestWitnessedHoldsReplaceFormerOwnersReport replaces an owner that doesn't
// answer. The new broker must count the holds that the former owner's witness
// reports.
func TestWitnessedHoldsReplaceFormerOwnersReport(t *testing.T) {
	n, former := newSuccessor(t)
	n.unreachable[former.Name] = true
	n.holds[n.Self.Name] = held(former, 200, "h1", "h1", "h2")
	n.showOwnerChange()
	op, err := n.ask(1, 0, _timeout)
	assert.NilError(t, err)
	assert.Equal(t, op.(broker.Grant).Host, "h2", "a witnessed slot was granted again")
	_, err = n.ask(2, 0, _shortWait)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// TestReportOfLiveFormerOwnerIsUsed has the former owner report last, with
// holds that no witness recorded because they were granted by the owner before
// it.
func TestReportOfLiveFormerOwnerIsUsed(t *testing.T) {
	n, former := newSuccessor(t)
	n.unreachable[former.Name] = true
	n.holds[former.Name] = held(former, 200, "h1", "h1", "h2")
	n.showOwnerChange()
	time.AfterFunc(_shortWait/2, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.unreachable[former.Name] = false
	})
	op, err := n.ask(1, 0, _timeout)
	assert.NilError(t, err)
	assert.Equal(t, op.(broker.Grant).Host, "h2", "a slot in use was granted again")
	_, err = n.ask(2, 0, _shortWait)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// successor is the dispatcher of the entry that becomes the owner when the
// former owner is suspected.
type successor struct {
	*harness
	before, after *view.View
}

// newSuccessor returns a successor and the former owner.
func newSuccessor(t *testing.T) (successor, broker.Entry) {
	s := newHarness(t)
	former := s.Self
	s.SetView(s.fleet.View())
	before := s.fleet.View()
	s.fleet.Suspect(t, s.otherEntries()[0], former.Name, former.Incarnation)
	after := s.fleet.View()
	o, _ := after.Broker("fitting")
	n := &harness{unreachable: map[string]bool{}, holds: map[string][]broker.Hold{}, log: s.log}
	n.Dispatcher = Dispatcher{Self: broker.Entry{Name: o.Entry(), Incarnation: o.Incarnation()}, FetchHolds: n.fetch, Append: n.append}
	assert.NilError(t, n.Start(duty.System(nil)))
	t.Cleanup(n.Stop)
	return successor{harness: n, before: before, after: after}, former
}

// showOwnerChange passes the views before and after the change of owner to the
// dispatcher.
func (s successor) showOwnerChange() {
	s.SetView(s.before)
	s.SetView(s.after)
}

// held returns holds of an entry, one on each of the hosts, with consecutive
// slots starting at slot.
func held(e broker.Entry, slot uint64, hosts ...string) []broker.Hold {
	var l []broker.Hold
	for i, h := range hosts {
		l = append(l, broker.Hold{
			Slot: slot + uint64(i), Host: h, Class: "counter", Team: "desk", Entry: e, Until: time.Now().Add(_timeout),
		})
	}
	return l
}

func TestCancelledGrantIsReturned(t *testing.T) {
	s := newHarness(t)
	s.SetView(s.fleet.View())
	first, err := s.ask(99, 0, _timeout)
	assert.NilError(t, err)
	s.Done("fitting", first.(broker.Grant).Slot, broker.Result{Outcome: broker.Answered})
	for i := range uint64(20) {
		w, err := s.AskAsync("fitting", broker.Ask{
			Request: i + 1, Entry: s.Self, Service: "sizeCheck", Class: "counter", Team: "desk",
			Idempotent: true, Deadline: time.Now().Add(_timeout),
		})
		assert.NilError(t, err)
		s.Cancel("fitting", w.request)
	}
	o, err := s.ask(100, 0, _timeout)
	assert.NilError(t, err)
	_, is := o.(broker.Grant)
	assert.Assert(t, is, "%#v", o)
}

func TestOwnershipLossAnswersWaitingRequests(t *testing.T) {
	s := newHarness(t)
	s.unreachable[s.otherEntries()[0]] = true
	s.SetView(s.fleet.View())
	c := make(chan error, 1)
	go func() {
		_, err := s.ask(1, 0, _timeout)
		c <- err
	}()
	time.Sleep(_shortWait / 4)
	s.fleet.Suspect(t, s.otherEntries()[0], s.Self.Name, s.Self.Incarnation)
	s.SetView(s.fleet.View())
	assert.ErrorIs(t, <-c, ErrNotOwner)
}

// TestRegainedOwnershipIsNewTerm skips the view in which another entry was the
// broker and granted slots. The dispatcher must start a new term all the same.
func TestRegainedOwnershipIsNewTerm(t *testing.T) {
	s := newHarness(t)
	s.SetView(s.fleet.View())
	_, err := s.ask(1, 0, _timeout)
	assert.NilError(t, err)
	s.fleet.Suspect(t, s.otherEntries()[0], s.Self.Name, s.Self.Incarnation)
	s.fleet.Apply(t, &record.Record{Writer: s.Self.Name, Body: &record.Record_EntryAlive{
		EntryAlive: &record.EntryAlive{Entry: s.Self.Name, Incarnation: s.Self.Incarnation},
	}})
	o, _ := s.fleet.View().Broker("fitting")
	s.SetView(s.fleet.View())
	op, err := s.ask(2, 0, _timeout)
	assert.NilError(t, err)
	assert.Equal(t, op.(broker.Grant).Term, o.Term())
}

// TestSlotsOfEndedProcessStayTaken restarts an entry. Only a witness has a
// record of the holds of its former process.
func TestSlotsOfEndedProcessStayTaken(t *testing.T) {
	s := newHarness(t)
	witness := s.otherEntries()[0]
	for i, h := range []string{"h1", "h1", "h2"} {
		s.holds[witness] = append(s.holds[witness], broker.Hold{
			Slot: uint64(300 + i), Host: h, Class: "counter", Team: "desk",
			Entry: broker.Entry{Name: s.Self.Name, Incarnation: 77}, Until: time.Now().Add(_timeout),
		})
	}
	s.SetView(s.fleet.View())
	o, err := s.ask(1, 0, _timeout)
	assert.NilError(t, err)
	assert.Equal(t, o.(broker.Grant).Host, "h2", "a slot of an ended process was granted again")
	_, err = s.ask(2, 0, _shortWait)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}
