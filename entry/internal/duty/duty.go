package duty

import (
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/charmbracelet/log"
)

var (
	// ErrFull means that the ring was full and the message was not accepted.
	ErrFull = errors.New("duty: ring is full")
	// ErrStopped means that the duty was stopped and accepts no more messages.
	ErrStopped = errors.New("duty: stopped")
	// ErrSize means that the size of a ring was not positive.
	ErrSize = errors.New("duty: ring size must be positive")
)

// Policy says what Post does when the ring is full.
type Policy uint8

const (
	// Refuse returns ErrFull and leaves the ring as it is.
	Refuse Policy = iota
	// DropOldest makes room by dropping the oldest message. It suits messages
	// that later ones supersede.
	DropOldest
)

// System returns a new actor system to spawn duties in. The library and the
// duties log through l; nil disables their logging.
func System(l *log.Logger) *actor.ActorSystem {
	h := slog.DiscardHandler
	if l != nil {
		h = l
	}
	s := slog.New(h)
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return s
	}))
}

// Option changes how a duty of messages M runs.
type Option[M any] func(*Duty[M])

// WithTick calls the handler with m at each interval, on the same goroutine as for
// posted messages. Ticks don't use the ring, so a full ring doesn't delay them.
func WithTick[M any](interval time.Duration, m M) Option[M] {
	return func(d *Duty[M]) { d.box.interval, d.box.tick = interval, m }
}

// WithUrgent delivers the messages for which urgent returns true before others. They wait in a
// ring of their own, of the same size and policy. Once the oldest of the others has waited for patience, they
// take turns with the urgent ones, so that neither waits without a limit.
func WithUrgent[M any](patience time.Duration, urgent func(M) bool) Option[M] {
	return func(d *Duty[M]) {
		d.box.isUrgent, d.box.patience = urgent, patience
		d.box.urgent = newRing[M](len(d.box.ring.slots))
		d.box.urgent.wake = d.box.ring.wake
	}
}

// WithClock replaces time.Now as the source of the time passed to the handler.
func WithClock[M any](now func() time.Time) Option[M] {
	return func(d *Duty[M]) { d.now = now }
}

// Duty is a running actor that handles messages of type M.
type Duty[M any] struct {
	name   string
	handle func(now time.Time, m M)
	now    func() time.Time
	log    *slog.Logger
	box    *mailbox[M]
}

// Spawn starts a duty whose ring holds up to size messages. Its handler runs
// on one goroutine, in the order of posting. Spawn returns ErrSize if the size
// isn't positive, and an error if the system already has a duty of that name.
func Spawn[M any](s *actor.ActorSystem, name string, size int, p Policy,
	handle func(now time.Time, m M), opts ...Option[M],
) (*Duty[M], error) {
	if size <= 0 {
		return nil, ErrSize
	}
	d := &Duty[M]{
		name:   name,
		handle: handle,
		now:    time.Now,
		log:    s.Logger(),
		box:    &mailbox[M]{ring: newRing[M](size), policy: p, done: make(chan struct{})},
	}
	for _, o := range opts {
		o(d)
	}
	d.box.now = d.now
	props := actor.PropsFromFunc(d.receive, actor.WithMailbox(func() actor.Mailbox { return d.box }))
	if _, err := s.Root.SpawnNamed(props, name); err != nil {
		return nil, fmt.Errorf("spawn duty %s: %w", name, err)
	}
	return d, nil
}

// Post sends m to the duty and never blocks. It returns ErrFull if the policy
// is Refuse and the ring is full, and ErrStopped after Stop.
func (d *Duty[M]) Post(m M) error { return d.box.push(m) }

// Stop refuses further messages, and returns once the handler has handled those
// already posted. The handler must not call it, since Stop would wait for itself.
func (d *Duty[M]) Stop() {
	d.box.close()
	<-d.box.done
}

// Waiting returns the number of messages in the ring.
func (d *Duty[M]) Waiting() int {
	n, _ := d.box.counts()
	return n
}

// Waited returns how long the oldest message that isn't urgent has waited; zero if there is none.
func (d *Duty[M]) Waited(now time.Time) time.Duration { return d.box.ring.waited(now) }

// Lost returns the number of messages refused or dropped because the ring was
// full.
func (d *Duty[M]) Lost() uint64 {
	_, n := d.box.counts()
	return n
}

func (d *Duty[M]) receive(c actor.Context) {
	switch c.Message().(type) {
	case *actor.Started, *actor.Stopping, *actor.Stopped:
		return
	}
	if m, ok := c.Message().(M); ok {
		d.invoke(m)
	}
}

// invoke calls the handler. It logs a panic and passes it on, which ends the
// process.
func (d *Duty[M]) invoke(m M) {
	defer func() {
		if r := recover(); r != nil {
			d.log.Error("Duty panicked; the process ends.", "duty", d.name, "panic", r)
			panic(r)
		}
	}()
	d.handle(d.now(), m)
}
