package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"fescuelanding/standin/upstream"
)

const (
	_endHeader    = "Fescue-End"
	_reasonHeader = "Fescue-Reason"
)

// end classifies how a request ended, as the caller observed it.
type end int

const (
	endWrong    end = iota // the response belongs to another request or reports no valid outcome
	endAnswered            // the entry reported an answer
	endNotRun              // the entry reported that the request was not run
	endUnknown             // the entry reported that the request may have run
	endCut                 // the connection broke before the response was complete
	endNoEntry             // no ready entry accepted a connection
)

// outcome is the result of one request.
type outcome struct {
	id     string
	key    string
	end    end
	reason string
	took   time.Duration
}

// sender sends the requests of a load.
type sender struct {
	load     Load
	balancer *balancer
	client   *http.Client
	nonce    string // makes request IDs unique across loads
}

// send sends request n to the first ready entry, in round-robin order, that
// accepts the connection.
func (s sender) send(ctx context.Context, n int, now time.Time) outcome {
	o := outcome{id: fmt.Sprintf("%s-%d", s.nonce, n), key: s.load.Key}
	if s.load.Keyed {
		o.key = o.id
	}
	o.end = endNoEntry
	for i := range s.load.Entries {
		e := (n + i) % len(s.load.Entries)
		if s.balancer.ready(e) && s.attempt(ctx, s.load.Entries[e], &o) {
			break
		}
	}
	o.took = time.Since(now)
	return o
}

// attempt sends the request to an entry and records the result in o. It returns
// false only if no connection was established, so that another entry may be tried.
func (s sender) attempt(ctx context.Context, entry string, o *outcome) bool {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	body := []byte("body of " + o.id)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/"+s.load.Service+"/"+o.id, bytes.NewReader(body))
	if err != nil {
		o.reason = err.Error()
		return true
	}
	// Without GetBody the transport can't retry the request automatically.
	r.GetBody = nil
	s.setHeader(r.Header, o)
	a, err := s.client.Do(r)
	if err != nil {
		o.end = endCut
		if !connected.Load() {
			o.end = endNoEntry
		}
		return connected.Load()
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		o.end = endCut
		return true
	}
	o.reason = a.Header.Get(_reasonHeader)
	o.end = s.check(a, b, body)
	return true
}

func (s sender) setHeader(h http.Header, o *outcome) {
	for n, v := range map[string]string{
		upstream.RequestHeader: o.id,
		upstream.RunHeader:     s.load.RunFor,
		upstream.FaultHeader:   s.load.Fault,
		"Idempotency-Key":      o.key,
		"Fescue-Team":          s.load.Team,
		"Fescue-Class":         s.load.Class,
		"Fescue-Deadline":      s.load.Deadline,
	} {
		if v != "" {
			h.Set(n, v)
		}
	}
}

// check classifies a response by its end header and its body. An executor echoes
// the body it got, so another body than the one sent belongs to another request.
// If all requests share one key, check doesn't compare the bodies, since each
// request gets the answer of the first one that ran.
func (s sender) check(a *http.Response, got, sent []byte) end {
	switch a.Header.Get(_endHeader) {
	case "answered":
		if s.load.Key == "" && a.StatusCode == http.StatusOK && !bytes.Equal(got, sent) {
			return endWrong
		}
		return endAnswered
	case "notRun":
		return endNotRun
	case "unknown":
		return endUnknown
	default:
		return endWrong
	}
}
