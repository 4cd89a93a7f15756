package remote

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/keys"
	"fescuelanding/entry/peer"
)

var (
	_now  = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	_self = broker.Entry{Name: "e1", Incarnation: 1}
)

// TestGrantEndsNoLaterAtHolderThanAtBroker has the ask delayed on the network
// and the request wait at a broker whose clock differs by an hour.
func TestGrantEndsNoLaterAtHolderThanAtBroker(t *testing.T) {
	const skew = time.Hour
	sent := _now
	arrived := sent.Add(300 * time.Millisecond)
	granted := arrived.Add(2 * time.Second)
	until := granted.Add(5 * time.Second)
	m := opMessage(arrived.Add(skew), broker.Grant{Request: 7, Slot: 9, Host: "h1", Term: 3, Until: until.Add(skew)})
	o, ok := opFrom(sent, _self, m)
	assert.Assert(t, ok)
	g := o.(broker.Grant)
	assert.Assert(t, !g.Until.After(until), "the grant ends %s later at the holder than at the broker", g.Until.Sub(until))
	assert.Assert(t, g.Until.After(granted.Add(4*time.Second)), "the time in the queue was subtracted from the grant")
}

func TestAnswersRoundTrip(t *testing.T) {
	for _, want := range []broker.Op{
		broker.Grant{Request: 7, Entry: _self, Slot: 9, Host: "h1", Term: 3, Until: _now.Add(time.Second)},
		broker.Refuse{Request: 7, Entry: _self, Reason: broker.Overload, RetryAfter: 1500 * time.Millisecond},
		broker.Refuse{Request: 7, Entry: _self, Reason: broker.NoHost, Permanent: true},
		broker.Repeat{Request: 7, Entry: _self, Outcome: keys.Answered, Answer: []byte("first")},
	} {
		got, ok := opFrom(_now, _self, opMessage(_now, want))
		assert.Assert(t, ok)
		assert.DeepEqual(t, got, want)
	}
	_, ok := opFrom(_now, _self, &peer.Refuse{Reason: peer.RefuseReason_REFUSE_REASON_NOT_OWNER})
	assert.Assert(t, !ok, "the answer of an entry that isn't the broker was accepted")
}

func TestAskHoldAndResultRoundTrip(t *testing.T) {
	k := keys.Key{1, 2}
	a := broker.Ask{
		Request: 7, Entry: _self, Service: "s", Class: "c", Team: "t", Key: k,
		Deadline: _now.Add(time.Second), Attempt: 2, Exclude: []string{"h1"},
	}
	from := peer.Identity{Entry: "e1", Incarnation: 1}
	assert.DeepEqual(t, askFrom(_now, from, askMessage(_now, "p", a)), a)

	h := broker.Hold{
		Slot: 9, Request: 7, Entry: _self, Host: "h1", Service: "s", Class: "c", Team: "t", Key: k, Term: 3,
		Until: _now.Add(time.Second), Lost: true,
	}
	assert.DeepEqual(t, holdFrom(_now, holdMessage(_now, h)), h)

	r := broker.Result{Outcome: broker.Failed, Run: 1500 * time.Microsecond, Answer: []byte("x"), Leaving: true}
	assert.DeepEqual(t, resultFrom(doneMessage("p", 9, r)), r)
}
