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
	_soon  = 200 * time.Millisecond
	_limit = 3 * time.Second
)

var errSilent = errors.New("entry is silent")

// stand is a dispatcher whose entries and log follow a script.
type stand struct {
	Dispatcher
	fleet viewtest.Fleet

	mu      sync.Mutex
	silent  map[string]bool
	holds   map[string][]broker.Hold
	offset  uint64
	records []*keys.Record
	// log decides about an append: whether it is stored, and the error.
	log func(*keys.Record) (bool, error)
}

// newStand returns the dispatcher of the entry that owns pool fitting, among three.
func newStand(t *testing.T) *stand {
	s := &stand{silent: map[string]bool{}, holds: map[string][]broker.Hold{}}
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

func (s *stand) fetch(_ context.Context, entry, _ string, _ uint64) ([]broker.Hold, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent[entry] {
		return nil, errSilent
	}
	return s.holds[entry], nil
}

func (s *stand) append(_ context.Context, r *keys.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	store, err := s.log(r)
	if store {
		s.store(r)
	}
	return err
}

// store puts a record into the stream. The lock is held.
func (s *stand) store(r *keys.Record) {
	s.offset++
	s.records = append(s.records, r)
	b, err := proto.Marshal(r)
	if err != nil {
		panic(err)
	}
	s.ApplyKeys([]platform.Record{platform.NewRecord(s.offset, b)})
}

// ask asks for a slot and gives up after a while.
func (s *stand) ask(request uint64, key byte, wait time.Duration) (broker.Op, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	a := broker.Ask{
		Request: request, Entry: s.Self, Service: "kitHold", Class: "counter", Team: "desk",
		Idempotent: key == 0, Deadline: time.Now().Add(_limit),
	}
	if key != 0 {
		a.Key = keys.Key{key}
	}
	return s.Ask(ctx, "fitting", a)
}

func TestOtherEntriesPoolIsRefused(t *testing.T) {
	s := newStand(t)
	_, err := s.ask(1, 0, _limit)
	assert.ErrorIs(t, err, ErrNotOwner)
}

// otherEntries returns the entries but the dispatcher's own.
func (s *stand) otherEntries() []string {
	var l []string
	for _, e := range s.fleet.View().Entries() {
		if e.Name() != s.Self.Name {
			l = append(l, e.Name())
		}
	}
	return l
}

func TestSlotsCountAsTakenUntilAllReported(t *testing.T) {
	s := newStand(t)
	silent := s.otherEntries()[0]
	s.silent[silent] = true
	s.SetView(s.fleet.View())
	_, err := s.ask(1, 0, _soon)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	s.mu.Lock()
	s.silent[silent] = false
	s.mu.Unlock()
	o, err := s.ask(2, 0, _limit)
	assert.NilError(t, err)
	_, is := o.(broker.Grant)
	assert.Assert(t, is, "%#v", o)
}

func TestReportedSlotsAreTaken(t *testing.T) {
	s := newStand(t)
	other := s.otherEntries()[0]
	e, _ := s.fleet.View().Entry(other)
	for i, h := range []string{"h1", "h1", "h2"} {
		s.holds[other] = append(s.holds[other], broker.Hold{
			Slot: uint64(100 + i), Host: h, Class: "counter", Team: "desk",
			Entry: broker.Entry{Name: other, Incarnation: e.Incarnation()}, Until: time.Now().Add(_limit),
		})
	}
	s.SetView(s.fleet.View())
	o, err := s.ask(1, 0, _limit)
	assert.NilError(t, err)
	assert.Equal(t, o.(broker.Grant).Host, "h2")
	_, err = s.ask(2, 0, _soon)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	s.Done("fitting", 100, broker.Result{Outcome: broker.Answered})
	o, err = s.ask(3, 0, _limit)
	assert.NilError(t, err)
	assert.Equal(t, o.(broker.Grant).Host, "h1")
}

// TestWitnessSpeaksForTheFormerOwner has a silent owner replaced: what its
// witness reports stands for its own report.
func TestWitnessSpeaksForTheFormerOwner(t *testing.T) {
	n, former := newSuccessor(t)
	n.silent[former.Name] = true
	n.holds[n.Self.Name] = held(former, 200, "h1", "h1", "h2")
	n.succeed()
	op, err := n.ask(1, 0, _limit)
	assert.NilError(t, err)
	assert.Equal(t, op.(broker.Grant).Host, "h2", "a witnessed slot was handed out again")
	_, err = n.ask(2, 0, _soon)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// TestFormerOwnerThatLivesSpeaksItself has the former owner report last, with
// holds from the owner before it, which no witness knows.
func TestFormerOwnerThatLivesSpeaksItself(t *testing.T) {
	n, former := newSuccessor(t)
	n.silent[former.Name] = true
	n.holds[former.Name] = held(former, 200, "h1", "h1", "h2")
	n.succeed()
	time.AfterFunc(_soon/2, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.silent[former.Name] = false
	})
	op, err := n.ask(1, 0, _limit)
	assert.NilError(t, err)
	assert.Equal(t, op.(broker.Grant).Host, "h2", "a slot in use was handed out again")
	_, err = n.ask(2, 0, _soon)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// successor is the dispatcher of the entry that follows a suspect owner.
type successor struct {
	*stand
	before, after *view.View
}

// newSuccessor returns it with the former owner.
func newSuccessor(t *testing.T) (successor, broker.Entry) {
	s := newStand(t)
	former := s.Self
	s.SetView(s.fleet.View())
	before := s.fleet.View()
	s.fleet.Suspect(t, s.otherEntries()[0], former.Name, former.Incarnation)
	after := s.fleet.View()
	o, _ := after.Broker("fitting")
	n := &stand{silent: map[string]bool{}, holds: map[string][]broker.Hold{}, log: s.log}
	n.Dispatcher = Dispatcher{Self: broker.Entry{Name: o.Entry(), Incarnation: o.Incarnation()}, FetchHolds: n.fetch, Append: n.append}
	assert.NilError(t, n.Start(duty.System(nil)))
	t.Cleanup(n.Stop)
	return successor{stand: n, before: before, after: after}, former
}

// succeed shows the change of owners.
func (s successor) succeed() {
	s.SetView(s.before)
	s.SetView(s.after)
}

// held returns holds of an entry on hosts, numbered from a slot on.
func held(e broker.Entry, slot uint64, hosts ...string) []broker.Hold {
	var l []broker.Hold
	for i, h := range hosts {
		l = append(l, broker.Hold{
			Slot: slot + uint64(i), Host: h, Class: "counter", Team: "desk", Entry: e, Until: time.Now().Add(_limit),
		})
	}
	return l
}

func TestCancelledGrantGoesBack(t *testing.T) {
	s := newStand(t)
	s.SetView(s.fleet.View())
	first, err := s.ask(99, 0, _limit)
	assert.NilError(t, err)
	s.Done("fitting", first.(broker.Grant).Slot, broker.Result{Outcome: broker.Answered})
	for i := range uint64(20) {
		w, err := s.AskAsync("fitting", broker.Ask{
			Request: i + 1, Entry: s.Self, Service: "sizeCheck", Class: "counter", Team: "desk",
			Idempotent: true, Deadline: time.Now().Add(_limit),
		})
		assert.NilError(t, err)
		s.Cancel("fitting", w.request)
	}
	o, err := s.ask(100, 0, _limit)
	assert.NilError(t, err)
	_, is := o.(broker.Grant)
	assert.Assert(t, is, "%#v", o)
}

func TestLostOwnershipSendsWaitersOn(t *testing.T) {
	s := newStand(t)
	s.silent[s.otherEntries()[0]] = true
	s.SetView(s.fleet.View())
	c := make(chan error, 1)
	go func() {
		_, err := s.ask(1, 0, _limit)
		c <- err
	}()
	time.Sleep(_soon / 4)
	s.fleet.Suspect(t, s.otherEntries()[0], s.Self.Name, s.Self.Incarnation)
	s.SetView(s.fleet.View())
	assert.ErrorIs(t, <-c, ErrNotOwner)
}

// TestOwnershipThatCameBackIsANewTerm has the dispatcher miss the view between:
// in it another entry was the broker and handed out slots.
func TestOwnershipThatCameBackIsANewTerm(t *testing.T) {
	s := newStand(t)
	s.SetView(s.fleet.View())
	_, err := s.ask(1, 0, _limit)
	assert.NilError(t, err)
	s.fleet.Suspect(t, s.otherEntries()[0], s.Self.Name, s.Self.Incarnation)
	s.fleet.Apply(t, &record.Record{Writer: s.Self.Name, Body: &record.Record_EntryAlive{
		EntryAlive: &record.EntryAlive{Entry: s.Self.Name, Incarnation: s.Self.Incarnation},
	}})
	o, _ := s.fleet.View().Broker("fitting")
	s.SetView(s.fleet.View())
	op, err := s.ask(2, 0, _limit)
	assert.NilError(t, err)
	assert.Equal(t, op.(broker.Grant).Term, o.Term())
}

// TestProcessThatIsGoneKeepsItsSlots has a restarted entry: what its former
// process held is known to a witness only.
func TestProcessThatIsGoneKeepsItsSlots(t *testing.T) {
	s := newStand(t)
	witness := s.otherEntries()[0]
	for i, h := range []string{"h1", "h1", "h2"} {
		s.holds[witness] = append(s.holds[witness], broker.Hold{
			Slot: uint64(300 + i), Host: h, Class: "counter", Team: "desk",
			Entry: broker.Entry{Name: s.Self.Name, Incarnation: 77}, Until: time.Now().Add(_limit),
		})
	}
	s.SetView(s.fleet.View())
	o, err := s.ask(1, 0, _limit)
	assert.NilError(t, err)
	assert.Equal(t, o.(broker.Grant).Host, "h2", "a slot of a process that is gone was handed out")
	_, err = s.ask(2, 0, _soon)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}
