package slots

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/keys"
	"fescuelanding/fleet/platform"
)

func TestKeyIsGrantedOnceAndAfterItsFence(t *testing.T) {
	s := newStand(t)
	s.SetView(s.fleet.View())
	o, err := s.ask(1, 7, _limit)
	assert.NilError(t, err)
	g, is := o.(broker.Grant)
	assert.Assert(t, is, "%#v", o)

	s.mu.Lock()
	fenced := false
	for _, r := range s.records {
		fenced = fenced || len(r.GetFences()) > 0
		assert.Assert(t, fenced || len(r.GetBatches()) == 0, "a batch came before the fence")
	}
	s.mu.Unlock()

	s.Done("fitting", g.Slot, broker.Result{Outcome: broker.Answered, Answer: []byte("first")})
	o, err = s.ask(2, 7, _limit)
	assert.NilError(t, err)
	r, is := o.(broker.Repeat)
	assert.Assert(t, is, "%#v", o)
	assert.Equal(t, string(r.Answer), "first")
}

func TestKeyStartedElsewhereIsNotRun(t *testing.T) {
	s := newStand(t)
	s.SetView(s.fleet.View())
	k := keys.Key{9}
	s.mu.Lock()
	s.store(&keys.Record{
		AtUnixMs: time.Now().UnixMilli(), Entry: "e9", Incarnation: 9,
		Batches: []*keys.Batch{{Pool: "fitting", Term: 1 << 40, Keys: k[:]}},
	})
	s.mu.Unlock()
	o, err := s.ask(1, 9, _limit)
	assert.NilError(t, err)
	r, is := o.(broker.Repeat)
	assert.Assert(t, is, "%#v", o)
	assert.Equal(t, r.Outcome, keys.Unknown)
}

// TestKeyStartedMeanwhileIsNotRun has another broker's batch stand just before
// the own one.
func TestKeyStartedMeanwhileIsNotRun(t *testing.T) {
	s := newStand(t)
	k := keys.Key{8}
	s.log = func(r *keys.Record) (bool, error) {
		if len(r.GetBatches()) > 0 {
			s.store(&keys.Record{
				AtUnixMs: r.GetAtUnixMs(), Entry: "e9", Incarnation: 9,
				Batches: []*keys.Batch{{Pool: "fitting", Term: 1 << 40, Keys: k[:]}},
			})
		}
		return true, nil
	}
	s.SetView(s.fleet.View())
	o, err := s.ask(1, 8, _limit)
	assert.NilError(t, err)
	_, is := o.(broker.Repeat)
	assert.Assert(t, is, "%#v", o)
}

func TestUnavailableLogRefusesAtOnce(t *testing.T) {
	s := newStand(t)
	s.log = func(*keys.Record) (bool, error) { return false, platform.ErrUnavailable }
	s.SetView(s.fleet.View())
	start := time.Now()
	o, err := s.ask(1, 3, _limit)
	assert.NilError(t, err)
	r, is := o.(broker.Refuse)
	assert.Assert(t, is, "%#v", o)
	assert.Equal(t, r.Reason, broker.KeysUnavailable)
	assert.Assert(t, time.Since(start) < time.Second)

	// The log is back: the fence comes first again, and the key may run.
	s.mu.Lock()
	s.log = func(*keys.Record) (bool, error) { return true, nil }
	s.mu.Unlock()
	o, err = s.ask(2, 3, _limit)
	assert.NilError(t, err)
	_, is = o.(broker.Grant)
	assert.Assert(t, is, "%#v", o)
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, len(s.records[0].GetFences()) > 0, "the fence was lost with its append")
}

func TestLostAnswerIsReadBack(t *testing.T) {
	s := newStand(t)
	s.log = func(r *keys.Record) (bool, error) {
		time.AfterFunc(_soon/4, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.store(r)
		})
		return false, platform.ErrUnknownOutcome
	}
	s.SetView(s.fleet.View())
	o, err := s.ask(1, 4, _limit)
	assert.NilError(t, err)
	_, is := o.(broker.Grant)
	assert.Assert(t, is, "%#v", o)
}

// TestVoidBatchIsNotGranted has a newer broker's fence stand before the batch.
func TestVoidBatchIsNotGranted(t *testing.T) {
	s := newStand(t)
	s.log = func(r *keys.Record) (bool, error) {
		if len(r.GetBatches()) > 0 {
			s.store(&keys.Record{Entry: "e9", Fences: []*keys.Fence{{Pool: "fitting", Term: 1 << 40}}})
		}
		return true, nil
	}
	s.SetView(s.fleet.View())
	o, err := s.ask(1, 5, _limit)
	assert.NilError(t, err)
	r, is := o.(broker.Refuse)
	assert.Assert(t, is, "%#v", o)
	assert.Equal(t, r.Reason, broker.KeysUnavailable)
}

// TestKeyOfALostPoolIsReleased has the pool go to another broker between the
// append of a key and its reading: nothing runs, and the log says so.
func TestKeyOfALostPoolIsReleased(t *testing.T) {
	s := newStand(t)
	begun := make(chan *keys.Record, 1)
	s.log = func(r *keys.Record) (bool, error) {
		if len(r.GetBatches()) > 0 {
			begun <- r
			return false, nil
		}
		return true, nil
	}
	s.SetView(s.fleet.View())
	c := make(chan error, 1)
	go func() {
		_, err := s.ask(1, 6, _limit)
		c <- err
	}()
	r := <-begun
	s.fleet.Suspect(t, s.otherEntries()[0], s.Self.Name, s.Self.Incarnation)
	s.SetView(s.fleet.View())
	assert.ErrorIs(t, <-c, ErrNotOwner)
	s.mu.Lock()
	s.store(r)
	at := s.offset
	s.mu.Unlock()
	for end := time.Now().Add(_limit); ; time.Sleep(_soon / 20) {
		s.mu.Lock()
		l := s.records[len(s.records)-1].GetReleases()
		s.mu.Unlock()
		if len(l) == 1 {
			assert.Equal(t, l[0].GetOffset(), at)
			return
		}
		assert.Assert(t, time.Now().Before(end), "the key was not released")
	}
}

// TestNewBrokerWaitsForAReleaseOnItsWay has a key that the former broker
// started be released after a repeat has asked for it.
func TestNewBrokerWaitsForAReleaseOnItsWay(t *testing.T) {
	s := newStand(t)
	k := keys.Key{11}
	s.mu.Lock()
	s.store(&keys.Record{
		AtUnixMs: time.Now().UnixMilli(), Entry: "e9", Incarnation: 9,
		Batches: []*keys.Batch{{Pool: "fitting", Term: 1, Keys: k[:]}},
	})
	at := s.offset
	s.mu.Unlock()
	s.SetView(s.fleet.View())
	time.AfterFunc(_soon/4, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.store(&keys.Record{Entry: "e9", Incarnation: 9, Releases: []*keys.Release{{Offset: at, Keys: k[:]}}})
	})
	o, err := s.ask(1, 11, _limit)
	assert.NilError(t, err)
	_, is := o.(broker.Grant)
	assert.Assert(t, is, "%#v", o)
}

// TestUnusedGrantOfALostPoolIsReleased has the holder refuse the grant, since
// the pool has another broker by then.
func TestUnusedGrantOfALostPoolIsReleased(t *testing.T) {
	s := newStand(t)
	s.SetView(s.fleet.View())
	o, err := s.ask(1, 12, _limit)
	assert.NilError(t, err)
	s.fleet.Suspect(t, s.otherEntries()[0], s.Self.Name, s.Self.Incarnation)
	s.SetView(s.fleet.View())
	s.Done("fitting", o.(broker.Grant).Slot, broker.Result{Outcome: broker.NotSent})
	ctx, cancel := context.WithTimeout(t.Context(), _limit)
	defer cancel()
	assert.NilError(t, s.WaitKeysIdle(ctx))
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Equal(t, len(s.records[len(s.records)-1].GetReleases()), 1)
}

// TestSettleWaitsForTheLog has a batch stay on its way.
func TestSettleWaitsForTheLog(t *testing.T) {
	s := newStand(t)
	s.log = func(r *keys.Record) (bool, error) { return len(r.GetBatches()) == 0, nil }
	s.SetView(s.fleet.View())
	_, err := s.ask(1, 13, _soon)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	ctx, cancel := context.WithTimeout(t.Context(), _soon)
	defer cancel()
	assert.ErrorIs(t, s.WaitKeysIdle(ctx), context.DeadlineExceeded)
}
