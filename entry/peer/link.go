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
	// Kernel buffers hold bulk ahead of control, so they are kept small.
	_socketBytes = 128 << 10
)

// link is an established connection to another entry.
type link struct {
	remote   Identity
	outbound bool
	screen   *screen
	session  *yamux.Session
	control  lane
	bulk     lane
	calls    calls
	pulse    pulse
	beat     chan struct{}
	since    time.Time

	once sync.Once
	done chan struct{}
	err  error
}

// newLink opens the session and both lanes on a connection whose handshake is
// complete. It returns within the handshake period.
func newLink(c net.Conn, remote Identity, outbound bool, now time.Time) (*link, error) {
	if t, ok := c.(*net.TCPConn); ok {
		if err := t.SetWriteBuffer(_socketBytes); err != nil {
			return nil, fmt.Errorf("set write buffer: %w", err)
		}
	}
	k := &link{
		remote: remote, outbound: outbound, since: now, screen: &screen{Conn: c},
		beat: make(chan struct{}, 1), done: make(chan struct{}),
	}
	k.control = lane{queue: make(chan *Envelope, _controlQueue), maxFrame: _controlFrameBytes, timeout: _writeTimeout}
	k.bulk = lane{queue: make(chan *Envelope, _bulkQueue), maxFrame: _bulkFrameBytes, timeout: _writeTimeout}
	if err := k.open(); err != nil {
		return nil, err
	}
	k.pulse.touch(now)
	return k, nil
}

func (k *link) open() error {
	conf := yamux.DefaultConfig()
	conf.EnableKeepAlive = false
	conf.LogOutput = io.Discard
	conf.AcceptBacklog = _acceptBacklog
	conf.ConnectionWriteTimeout = _writeTimeout
	conf.StreamOpenTimeout = _handshakePeriod
	create := yamux.Server
	if k.outbound {
		create = yamux.Client
	}
	s, err := create(k.screen, conf)
	if err != nil {
		return fmt.Errorf("open session: %w", err)
	}
	k.session = s
	for _, l := range []*lane{&k.control, &k.bulk} {
		if l.stream, err = k.stream(); err != nil {
			_ = s.Close()
			return fmt.Errorf("open stream: %w", err)
		}
	}
	return nil
}

// stream opens the next lane where this side dialled, and awaits it otherwise.
func (k *link) stream() (*yamux.Stream, error) {
	if k.outbound {
		return k.session.OpenStream()
	}
	ctx, cancel := context.WithTimeout(context.Background(), _handshakePeriod)
	defer cancel()
	return k.session.AcceptStreamWithContext(ctx)
}

// run serves the connection until it ends, and returns why.
func (k *link) run(s *Set) error {
	duties := []func() error{
		func() error { return k.control.read(func(e *Envelope) { k.receiveControl(s, e) }) },
		func() error { return k.bulk.read(func(e *Envelope) { k.receive(s, e) }) },
		func() error { return k.writeControl(s) },
		k.writeBulk,
		k.refuseStreams,
	}
	var wg sync.WaitGroup
	for _, d := range duties {
		wg.Go(func() { k.close(d()) })
	}
	wg.Wait()
	return k.err
}

// close ends the connection; the first reason is kept.
func (k *link) close(err error) {
	k.once.Do(func() {
		if f := k.screen.fault(); f != nil {
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

// status returns what is known of the other side; old is what went wrong
// before this connection.
func (k *link) status(old trouble) Status {
	s := Status{
		entry: k.remote.Entry, dataCentre: k.remote.DataCentre, incarnation: k.remote.Incarnation,
		connected: !k.closed(), trouble: old,
	}
	if !s.connected {
		s.trouble = trouble{lost: k.err}
	}
	k.pulse.fill(&s)
	return s
}

// post queues a message on its lane.
func (k *link) post(call uint64, reply bool, m Message) error {
	e := &Envelope{Call: call, Reply: reply}
	m.put(e)
	if k.closed() {
		return ErrNotConnected
	}
	if bulk(m) {
		return k.bulk.post(e)
	}
	return k.control.post(e)
}

// call posts a message and waits for its reply.
func (k *link) call(ctx context.Context, m Message) (Message, error) {
	id, reply, err := k.calls.add()
	if err != nil {
		return nil, err
	}
	defer k.calls.drop(id)
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

// writeControl sends queued messages and, ahead of them, heartbeats.
func (k *link) writeControl(s *Set) error {
	var b bytes.Buffer
	for {
		var err error
		select {
		case <-k.done:
			return k.err
		case <-k.beat:
			err = k.control.gather(&b, s.heartbeat(k))
		case e := <-k.control.queue:
			err = k.control.gather(&b, e)
		}
		if err != nil {
			return fmt.Errorf("control: %w", err)
		}
		if err := k.control.write(&b); err != nil {
			return fmt.Errorf("control: %w", err)
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
			if err := k.bulk.gather(&b, e); err != nil {
				return fmt.Errorf("bulk: %w", err)
			}
		}
		if err := k.bulk.write(&b); err != nil {
			return fmt.Errorf("bulk: %w", err)
		}
	}
}

// refuseStreams ends the connection when a third stream is opened.
func (k *link) refuseStreams() error {
	if _, err := k.session.AcceptStream(); err != nil {
		return fmt.Errorf("%w: %w", ErrDisconnected, err)
	}
	return ErrTooManyStreams
}

func (k *link) receiveControl(s *Set, e *Envelope) {
	now := s.now()
	if h := e.GetHeartbeat(); h != nil {
		k.pulse.hear(now, s.epoch, h)
		return
	}
	k.pulse.touch(now)
	k.receive(s, e)
}

// receive hands a reply to its call, and anything else to the handler.
func (k *link) receive(s *Set, e *Envelope) {
	m := e.message()
	if e.GetReply() {
		if m == nil {
			m = &Fault{Detail: "reply of an unknown kind"}
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

// Inbound is a message that another entry sent.
type Inbound struct {
	link    *link
	call    uint64
	message Message
}

// From returns the process that sent the message.
func (i Inbound) From() Identity { return i.link.remote }

// Message returns the message itself.
func (i Inbound) Message() Message { return i.message }

// Reply answers a call. It may be called from any goroutine and at any later
// time, and never waits. It returns ErrNoReply for a one-way message,
// ErrNotConnected where the connection has ended, ErrFull and ErrTooLarge.
func (i Inbound) Reply(m Message) error {
	if i.call == 0 {
		return ErrNoReply
	}
	return i.link.post(i.call, true, m)
}
