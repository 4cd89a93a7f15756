package remote

import (
	"context"
	"time"

	"fescuelanding/entry/internal/follow"
	"fescuelanding/entry/internal/hold"
	"fescuelanding/entry/internal/slots"
	"fescuelanding/entry/peer"
)

const (
	_maxRecordsPerReply = 256
	// _answerGrace is how long the server waits for the broker's answer beyond
	// the request's deadline.
	_answerGrace = time.Second
)

// Server answers calls from other entries. Its fields must be set before use.
type Server struct {
	Dispatcher *slots.Dispatcher
	Table      *hold.Table
	Follower   *follow.Follower

	cache checkpointCache
}

// Handle handles a message. It may block while the dispatcher's queue is full,
// but doesn't wait for brokers or peers.
func (s *Server) Handle(now time.Time, in peer.Inbound) {
	switch m := in.Message().(type) {
	case *peer.Ask:
		s.ask(now, in, m)
	case *peer.Cancel:
		s.Dispatcher.Cancel(m.GetPool(), m.GetRequestId())
	case *peer.Done:
		go s.done(in, m)
	case *peer.FetchHolds:
		reply(in, s.holds(now, in, m))
	case *peer.Witness:
		reply(in, s.witness(now, m))
	case *peer.Push:
		if m.GetStream() == _fleetStream {
			go s.Follower.Offer(recordsFrom(m.GetRecords()))
		}
	case *peer.Fetch:
		go s.fetch(in, m)
	case *peer.FetchCheckpoint:
		go s.checkpoint(now, in, m)
	default:
		reply(in, &peer.Fault{Detail: "not understood"})
	}
}

// ask queues an ask and sends the broker's answer when it comes. The ask is
// queued before ask returns, so that a later Cancel is handled after it.
func (s *Server) ask(now time.Time, in peer.Inbound, m *peer.Ask) {
	a := askFrom(now, in.From(), m)
	w, err := s.Dispatcher.AskAsync(m.GetPool(), a)
	if err != nil {
		reply(in, &peer.Refuse{RequestId: a.Request, Reason: peer.RefuseReason_REFUSE_REASON_BUSY})
		return
	}
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), a.Deadline.Add(_answerGrace))
		defer cancel()
		o, err := w.Wait(ctx)
		if err != nil {
			reply(in, &peer.Refuse{RequestId: a.Request, Reason: peer.RefuseReason_REFUSE_REASON_NOT_OWNER})
			return
		}
		reply(in, opMessage(now, o))
	}()
}

func (s *Server) done(in peer.Inbound, m *peer.Done) {
	s.Dispatcher.Done(m.GetPool(), m.GetSlotId(), resultFrom(m))
	reply(in, &peer.Ack{})
}

// holds reports the holds of this entry to a new broker. It returns a fault if
// a newer broker is known.
func (s *Server) holds(now time.Time, in peer.Inbound, m *peer.FetchHolds) peer.Message {
	l, ok := s.Table.Report(now, m.GetPool(), hold.Broker{Entry: in.From().Entry, Term: m.GetTerm()})
	if !ok {
		return &peer.Fault{Detail: "term is old"}
	}
	r := &peer.Holds{Pool: m.GetPool(), Term: m.GetTerm()}
	for _, h := range l {
		r.Holds = append(r.Holds, holdMessage(now, h))
	}
	return r
}

func (s *Server) witness(now time.Time, m *peer.Witness) peer.Message {
	h := holdFrom(now, m.GetHold())
	if m.GetReleased() {
		s.Table.RemoveWitnessed(h.Slot)
		return &peer.Ack{}
	}
	if !s.Table.AddWitnessed(now, m.GetPool(), m.GetTerm(), h) {
		return &peer.Fault{Detail: "term is old"}
	}
	return &peer.Ack{}
}

func (s *Server) fetch(in peer.Inbound, m *peer.Fetch) {
	l, first, head := s.Follower.Recent(m.GetFrom(), _maxRecordsPerReply)
	reply(in, &peer.Records{Stream: m.GetStream(), Records: logRecords(l), First: first, Head: head})
}

// reply answers a call. A reply that can't be sent is treated like one lost on
// the network.
func reply(in peer.Inbound, m peer.Message) { _ = in.Reply(m) }
