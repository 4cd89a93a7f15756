package remote

import (
	"time"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/keys"
	"fescuelanding/entry/peer"
	"fescuelanding/fleet/platform"
)

// askMessage encodes an ask. Times are sent as durations from now, so that the
// clocks of the entries need not agree.
func askMessage(now time.Time, pool string, a broker.Ask) *peer.Ask {
	m := &peer.Ask{
		RequestId: a.Request, Pool: pool, Service: a.Service, Class: a.Class, Team: a.Team,
		Idempotent: a.Idempotent, DeadlineLeftMs: a.Deadline.Sub(now).Milliseconds(),
		Attempt: uint32(a.Attempt), ExcludedHosts: a.Exclude,
	}
	if !a.Key.IsZero() {
		m.Key = a.Key[:]
	}
	return m
}

// askFrom decodes an ask from a peer.
func askFrom(now time.Time, from peer.Identity, m *peer.Ask) broker.Ask {
	return broker.Ask{
		Request: m.GetRequestId(), Entry: entryOf(from),
		Service: m.GetService(), Class: m.GetClass(), Team: m.GetTeam(), Key: keyOf(m.GetKey()),
		Idempotent: m.GetIdempotent(), Deadline: now.Add(milliseconds(m.GetDeadlineLeftMs())),
		Attempt: int(m.GetAttempt()), Exclude: m.GetExcludedHosts(),
	}
}

// opMessage encodes a broker's answer to an ask that arrived at the given time.
// The remaining time of a grant counts from then. The holder counts it from the
// time at which it sent the ask, so a grant never ends later at the holder than
// at the broker.
func opMessage(arrived time.Time, o broker.Op) peer.Message {
	switch o := o.(type) {
	case broker.Grant:
		return &peer.Grant{
			RequestId: o.Request, Term: o.Term, Host: o.Host, SlotId: o.Slot,
			LeftMs: o.Until.Sub(arrived).Milliseconds(),
		}
	case broker.Refuse:
		return &peer.Refuse{
			RequestId: o.Request, Code: uint32(o.Reason), Never: o.Permanent,
			RetryAfterMs: o.RetryAfter.Milliseconds(),
		}
	case broker.Repeat:
		m := &peer.Answered{RequestId: o.Request, Outcome: peer.Outcome(o.Outcome), Stored: o.Answer}
		return m
	default:
		return &peer.Refuse{Reason: peer.RefuseReason_REFUSE_REASON_NOT_OWNER}
	}
}

// opFrom decodes a broker's answer to an ask that was sent at the given time. It
// returns false if the called entry is not the broker or is busy.
func opFrom(sent time.Time, self broker.Entry, m peer.Message) (broker.Op, bool) {
	switch m := m.(type) {
	case *peer.Grant:
		return broker.Grant{
			Request: m.GetRequestId(), Entry: self, Slot: m.GetSlotId(), Host: m.GetHost(),
			Term: m.GetTerm(), Until: sent.Add(milliseconds(m.GetLeftMs())),
		}, true
	case *peer.Refuse:
		if m.GetReason() != peer.RefuseReason_REFUSE_REASON_UNSPECIFIED {
			return nil, false
		}
		return broker.Refuse{
			Request: m.GetRequestId(), Entry: self, Reason: broker.Reason(m.GetCode()),
			RetryAfter: milliseconds(m.GetRetryAfterMs()), Permanent: m.GetNever(),
		}, true
	case *peer.Answered:
		return broker.Repeat{
			Request: m.GetRequestId(), Entry: self, Outcome: keys.Outcome(m.GetOutcome()), Answer: m.GetStored(),
		}, true
	default:
		return nil, false
	}
}

func holdMessage(now time.Time, h broker.Hold) *peer.Hold {
	m := &peer.Hold{
		SlotId: h.Slot, RequestId: h.Request, Host: h.Host, Service: h.Service, Class: h.Class, Team: h.Team,
		Entry: h.Entry.Name, Incarnation: h.Entry.Incarnation, Term: h.Term,
		LeftMs: h.Until.Sub(now).Milliseconds(), Lost: h.Lost,
	}
	if !h.Key.IsZero() {
		m.Key = h.Key[:]
	}
	return m
}

func holdFrom(now time.Time, m *peer.Hold) broker.Hold {
	return broker.Hold{
		Slot: m.GetSlotId(), Request: m.GetRequestId(), Host: m.GetHost(),
		Service: m.GetService(), Class: m.GetClass(), Team: m.GetTeam(),
		Entry: broker.Entry{Name: m.GetEntry(), Incarnation: m.GetIncarnation()},
		Key:   keyOf(m.GetKey()), Term: m.GetTerm(), Until: now.Add(milliseconds(m.GetLeftMs())), Lost: m.GetLost(),
	}
}

// doneMessage encodes the result of a hold.
func doneMessage(pool string, slot uint64, r broker.Result) *peer.Done {
	return &peer.Done{
		Pool: pool, SlotId: slot, Result: uint32(r.Outcome), RunTimeUs: r.Run.Microseconds(), Stored: r.Answer,
		Leaving: r.Leaving,
	}
}

// resultFrom decodes the result of a hold.
func resultFrom(m *peer.Done) broker.Result {
	return broker.Result{
		Outcome: broker.Outcome(m.GetResult()),
		Run:     time.Duration(m.GetRunTimeUs()) * time.Microsecond,
		Answer:  m.GetStored(),
		Leaving: m.GetLeaving(),
	}
}

// PushMessage returns the message that passes records on to peers.
func PushMessage(l []platform.Record) *peer.Push {
	return &peer.Push{Stream: _fleetStream, Records: logRecords(l)}
}

func logRecords(l []platform.Record) []*peer.LogRecord {
	m := make([]*peer.LogRecord, 0, len(l))
	for _, r := range l {
		m = append(m, &peer.LogRecord{Offset: r.Offset(), Data: r.Data()})
	}
	return m
}

func recordsFrom(m []*peer.LogRecord) []platform.Record {
	l := make([]platform.Record, 0, len(m))
	for _, r := range m {
		l = append(l, platform.NewRecord(r.GetOffset(), r.GetData()))
	}
	return l
}

func entryOf(i peer.Identity) broker.Entry {
	return broker.Entry{Name: i.Entry, Incarnation: i.Incarnation}
}

// keyOf returns the key with the given bytes, or the zero key if their number
// is wrong.
func keyOf(b []byte) keys.Key {
	if len(b) != keys.Size {
		return keys.Key{}
	}
	return keys.Key(b)
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
