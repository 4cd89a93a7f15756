package peer

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	_acceptBacklog = 4
	_writeTimeout  = 500 * time.Millisecond
	// Bulk data in the kernel's send buffer delays control messages, so the
	// buffer is small.
	_sendBufferBytes = 128 << 10
)

// link is an established connection to another entry.
type link struct {
	remote       Identity
	outbound     bool
	filter       *frameFilter
	session      *yamux.Session
	control      lane
	bulk         lane
	calls        calls
	heartbeats   heartbeatState
	heartbeatDue chan struct{}
	connectedAt  time.Time

	once sync.Once
	done chan struct{}
	err  error
}

// newLink opens the session and both lanes on a connection whose handshake is
// complete. The time limit for opening each stream is _handshakeTimeout.
func newLink(c net.Conn, remote Identity, outbound bool, now time.Time) (*link, error) {
	if t, ok := c.(*net.TCPConn); ok {
		if err := t.SetWriteBuffer(_sendBufferBytes); err != nil {
			return nil, fmt.Errorf("set write buffer: %w", err)
		}
	}
	k := &link{
		remote: remote, outbound: outbound, connectedAt: now, filter: &frameFilter{Conn: c},
		heartbeatDue: make(chan struct{}, 1), done: make(chan struct{}),
	}
	k.control = lane{queue: make(chan *Envelope, _controlQueue), maxFrame: _controlFrameBytes, writeTimeout: _writeTimeout}
	k.bulk = lane{queue: make(chan *Envelope, _bulkQueue), maxFrame: _bulkFrameBytes, writeTimeout: _writeTimeout}
	if err := k.openLanes(); err != nil {
		return nil, err
	}
	k.heartbeats.recordFrame(now)
	return k, nil
}

func (k *link) openLanes() error {
	conf := yamux.DefaultConfig()
	conf.EnableKeepAlive = false
	conf.LogOutput = io.Discard
	conf.AcceptBacklog = _acceptBacklog
	conf.ConnectionWriteTimeout = _writeTimeout
	conf.StreamOpenTimeout = _handshakeTimeout
	create := yamux.Server
	if k.outbound {
		create = yamux.Client
	}
	s, err := create(k.filter, conf)
	if err != nil {
		return fmt.Errorf("open session: %w", err)
	}
	k.session = s
	for _, l := range []*lane{&k.control, &k.bulk} {
		if l.stream, err = k.nextStream(); err != nil {
			_ = s.Close()
			return fmt.Errorf("open stream: %w", err)
		}
	}
	return nil
}

// nextStream opens a stream where this side dialled, and otherwise accepts one
// from the other side.
func (k *link) nextStream() (*yamux.Stream, error) {
	if k.outbound {
		return k.session.OpenStream()
	}
	ctx, cancel := context.WithTimeout(context.Background(), _handshakeTimeout)
	defer cancel()
	return k.session.AcceptStreamWithContext(ctx)
}

// run reads and writes both lanes until the connection ends, and returns why it
// ended.
func (k *link) run(s *Set) error {
	loops := []func() error{
		func() error { return k.control.read(func(e *Envelope) { k.receiveControl(s, e) }) },
		func() error { return k.bulk.read(func(e *Envelope) { k.receive(s, e) }) },
		func() error { return k.writeControl(s) },
		k.writeBulk,
		k.refuseStreams,
	}
	var wg sync.WaitGroup
	for _, f := range loops {
		wg.Go(func() { k.close(f()) })
	}
	wg.Wait()
	return k.err
}

// close ends the connection and stores why. Only the first call has an effect.
// If the frame filter received a ping, its error is stored instead of err.
func (k *link) close(err error) {
	k.once.Do(func() {
		if f := k.filter.pingError(); f != nil {
			err = f
		}
		k.err = err
		close(k.done)
		_ = k.session.Close()
	})
}

func (k *link) closed() bool {
	select {
	case <-k.done:
		return true
	default:
		return false
	}
}

// status returns the state of the other side and of this connection. While the
// connection is open, the status contains old, the errors from before it.
// Afterwards, it contains the error that ended this connection.
func (k *link) status(old peerErrors) Status {
	s := Status{
		entry: k.remote.Entry, dataCentre: k.remote.DataCentre, incarnation: k.remote.Incarnation,
		connected: !k.closed(), errs: old,
	}
	if !s.connected {
		s.errs = peerErrors{disconnect: k.err}
	}
	k.heartbeats.fillStatus(&s)
	return s
}

// post queues a message on its lane without waiting. call is the id of the call
// that the message starts or, if reply is set, replies to. It is zero for a
// one-way message.
func (k *link) post(call uint64, reply bool, m Message) error {
	e := &Envelope{Call: call, Reply: reply}
	m.put(e)
	if k.closed() {
		return ErrNotConnected
	}
	if isBulk(m) {
		return k.bulk.post(e)
	}
	return k.control.post(e)
}

// call queues a message and waits for its reply.
func (k *link) call(ctx context.Context, m Message) (Message, error) {
	id, reply, err := k.calls.add()
	if err != nil {
		return nil, err
	}
	defer k.calls.remove(id)
	if err := k.post(id, false, m); err != nil {
		return nil, err
	}
	select {
	case r := <-reply:
		if f, ok := r.(*Fault); ok {
			return nil, &FaultError{detail: f.GetDetail()}
		}
		return r, nil
	case <-ctx.Done():
		return nil, fmt.Errorf("await reply: %w", ctx.Err())
	case <-k.done:
		return nil, fmt.Errorf("%w: %w", ErrDisconnected, k.err)
	}
}

// writeControl sends heartbeats and queued messages. Heartbeats bypass the
// queue, so that they don't wait behind other messages.
func (k *link) writeControl(s *Set) error {
	var b bytes.Buffer
	for {
		var err error
		select {
		case <-k.done:
			return k.err
		case <-k.heartbeatDue:
			err = k.control.coalesce(&b, s.heartbeat(k))
		case e := <-k.control.queue:
			err = k.control.coalesce(&b, e)
		}
		if err != nil {
			return fmt.Errorf("control lane: %w", err)
		}
		if err := k.control.write(&b); err != nil {
			return fmt.Errorf("control lane: %w", err)
		}
	}
}

func (k *link) writeBulk() error {
	var b bytes.Buffer
	for {
		select {
		case <-k.done:
			return k.err
		case e := <-k.bulk.queue:
			if err := k.bulk.coalesce(&b, e); err != nil {
				return fmt.Errorf("bulk lane: %w", err)
			}
		}
		if err := k.bulk.write(&b); err != nil {
			return fmt.Errorf("bulk lane: %w", err)
		}
	}
}

// refuseStreams waits until the other side opens a third stream, and returns
// ErrTooManyStreams. It returns ErrDisconnected if the session ends first.
func (k *link) refuseStreams() error {
	if _, err := k.session.AcceptStream(); err != nil {
		return fmt.Errorf("%w: %w", ErrDisconnected, err)
	}
	return ErrTooManyStreams
}

func (k *link) receiveControl(s *Set, e *Envelope) {
	now := s.now()
	if h := e.GetHeartbeat(); h != nil {
		k.heartbeats.recordHeartbeat(now, s.epoch, h)
		return
	}
	k.heartbeats.recordFrame(now)
	k.receive(s, e)
}

// receive delivers a reply to its pending call and passes any other message to
// the handler.
func (k *link) receive(s *Set, e *Envelope) {
	m := e.message()
	if e.GetReply() {
		if m == nil {
			m = &Fault{Detail: "reply has an unknown message type"}
		}
		k.calls.resolve(e.GetCall(), m)
		return
	}
	in := Inbound{link: k, call: e.GetCall(), message: m}
	if m == nil || s.Handle == nil {
		_ = in.Reply(&Fault{Detail: "message of an unknown kind"})
		return
	}
	s.Handle(s.now(), in)
}

// Inbound is a message received from another entry.
type Inbound struct {
	link    *link
	call    uint64
	message Message
}

// From returns the process that sent the message.
func (i Inbound) From() Identity { return i.link.remote }

// Message returns the message body.
func (i Inbound) Message() Message { return i.message }

// Reply queues the reply to a call. It may be called from any goroutine, also
// after the handler has returned, and never waits. It returns ErrNoReply for a
// one-way message, ErrNotConnected where the connection has ended, ErrQueueFull
// or ErrTooLarge.
func (i Inbound) Reply(m Message) error {
	if i.call == 0 {
		return ErrNoReply
	}
	return i.link.post(i.call, true, m)
}
