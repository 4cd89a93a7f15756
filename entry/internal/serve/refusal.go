package serve

import (
	"crypto/sha256"
	"net/http"

	"google.golang.org/protobuf/proto"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/caller"
	"fescuelanding/entry/keys"
	"fescuelanding/entry/peer"
	"fescuelanding/entry/upstream"
)

// _maxStored is the size limit, in bytes, of an answer that is stored for
// repeats.
const _maxStored = 64 << 10

// requestKey returns the key of a request that must not run twice, or the zero
// key for other requests. The key is a hash of the service, the team and
// the idempotency key of the request, so that two services or teams may use the
// same idempotency key.
func requestKey(c caller.Request) keys.Key {
	if c.Key() == "" || c.Idempotent() {
		return keys.Key{}
	}
	h := sha256.New()
	for _, s := range []string{c.Service().Name, c.Team(), c.Key()} {
		_, _ = h.Write([]byte(s))
		_, _ = h.Write([]byte{0})
	}
	return keys.Key(h.Sum(nil)[:keys.Size])
}

// _reasons maps a broker's reason to the reason that is sent to the caller.
var _reasons = map[broker.Reason]string{
	broker.UnknownClass:    "unknownClass",
	broker.UnknownTeam:     "unknownTeam",
	broker.NoHost:          "noHost",
	broker.Overload:        "overload",
	broker.QueueFull:       "queueFull",
	broker.Displaced:       "displaced",
	broker.Expired:         "noSlotInTime",
	broker.RetryBudget:     "retryBudget",
	broker.TriedAll:        "triedAll",
	broker.FailsEverywhere: "failsEverywhere",
	broker.KeysUnavailable: "keysUnavailable",
}

// refusal returns the end of a request that the broker refused.
func refusal(o broker.Refuse) caller.End {
	e := caller.NotRun{Reason: _reasons[o.Reason], RetryAfter: o.RetryAfter}
	if e.Reason == "" {
		e.Reason = "refused"
	}
	if o.Permanent {
		e.Status, e.RetryAfter = http.StatusUnprocessableEntity, 0
	}
	return e
}

// repeated returns the end of a request whose key was started before.
func repeated(o broker.Repeat) caller.End {
	if o.Answer == nil {
		return caller.Unknown{Status: http.StatusConflict, Reason: "ranBefore"}
	}
	var a peer.StoredAnswer
	if err := proto.Unmarshal(o.Answer, &a); err != nil {
		return caller.Unknown{Status: http.StatusConflict, Reason: "ranBefore"}
	}
	h := http.Header{}
	for _, f := range a.GetHeaders() {
		h.Add(f.GetName(), f.GetValue())
	}
	return caller.Answered{Status: int(a.GetStatus()), Header: h, Body: a.GetBody()}
}

// storeAnswer encodes an answer for repeats. It returns nil if the answer is
// too large.
func storeAnswer(v upstream.Answer) []byte {
	if len(v.Body()) > _maxStored {
		return nil
	}
	a := &peer.StoredAnswer{Status: uint32(v.Status()), Body: v.Body()}
	for n, l := range v.Header() {
		for _, s := range l {
			a.Headers = append(a.Headers, &peer.Header{Name: n, Value: s})
		}
	}
	b, err := proto.Marshal(a)
	if err != nil {
		return nil
	}
	return b
}
