package remote

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/peer"
	"fescuelanding/fleet/platform"
)

const (
	_fleetStream = "fleet"
	_callTimeout = 500 * time.Millisecond
)

var (
	// ErrNotOwner means that the called entry is not the pool's broker or is
	// too busy to answer.
	ErrNotOwner = errors.New("entry is not the broker of the pool or is busy")
	// ErrUnexpectedReply means that a reply has the wrong type or content for
	// the call.
	ErrUnexpectedReply = errors.New("unexpected reply")
	// ErrExpired means that the called entry no longer keeps the records.
	ErrExpired = errors.New("records are no longer kept")
)

// Client calls other entries. Its fields must be set before use.
type Client struct {
	Self  broker.Entry
	Peers *peer.Set
}

// Ask asks the broker of a pool at another entry for a slot. It waits until the
// broker answers or ctx ends.
func (c *Client) Ask(ctx context.Context, entry, pool string, a broker.Ask) (broker.Op, error) {
	asked := time.Now()
	m, err := c.Peers.Call(ctx, entry, askMessage(asked, pool, a))
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", entry, err)
	}
	o, ok := opFrom(asked, c.Self, m)
	if !ok {
		return nil, ErrNotOwner
	}
	return o, nil
}

// Cancel withdraws an ask. It doesn't wait for an answer.
func (c *Client) Cancel(entry, pool string, request uint64) {
	_ = c.Peers.Send(entry, &peer.Cancel{Pool: pool, RequestId: request})
}

// Done returns a slot. It returns nil once the broker's entry has acknowledged
// it.
func (c *Client) Done(entry, pool string, slot uint64, r broker.Result) error {
	return c.callForAck(context.Background(), entry, doneMessage(pool, slot, r))
}

// AddWitnessed stores a copy of a hold at another entry, the pool's witness.
// This entry must be both the holder and the pool's broker.
func (c *Client) AddWitnessed(ctx context.Context, entry, pool string, h broker.Hold) error {
	return c.AddWitnessedInTerm(ctx, entry, pool, h.Term, h)
}

// AddWitnessedInTerm is AddWitnessed for a hold that a former broker granted.
// The term is that of this entry as the pool's broker, which is newer than the
// hold's own term. A witness that knows the new broker refuses the older term.
func (c *Client) AddWitnessedInTerm(ctx context.Context, entry, pool string, term uint64, h broker.Hold) error {
	return c.callForAck(ctx, entry, &peer.Witness{Pool: pool, Term: term, Hold: holdMessage(time.Now(), h)})
}

// RemoveWitnessed removes the copy of a hold at its witness. It doesn't wait for
// an answer.
func (c *Client) RemoveWitnessed(entry, pool string, h broker.Hold) {
	_ = c.Peers.Send(entry, &peer.Witness{Pool: pool, Term: h.Term, Hold: holdMessage(time.Now(), h), Released: true})
}

// FetchHolds returns the holds of an entry in a pool, both its own and those
// that it recorded as a witness.
func (c *Client) FetchHolds(ctx context.Context, entry, pool string, term uint64) ([]broker.Hold, error) {
	m, err := c.Peers.Call(ctx, entry, &peer.FetchHolds{Pool: pool, Term: term})
	if err != nil {
		return nil, fmt.Errorf("fetch holds of %s: %w", entry, err)
	}
	r, ok := m.(*peer.Holds)
	if !ok {
		return nil, fmt.Errorf("fetch holds of %s: %w", entry, ErrUnexpectedReply)
	}
	now := time.Now()
	l := make([]broker.Hold, 0, len(r.GetHolds()))
	for _, h := range r.GetHolds() {
		l = append(l, holdFrom(now, h))
	}
	return l, nil
}

// Fetch returns records of the fleet stream from an entry, starting at an
// offset. It returns ErrExpired if the entry has applied the record at that
// offset but no longer keeps it. The caller then needs a checkpoint.
func (c *Client) Fetch(ctx context.Context, entry string, from uint64) ([]platform.Record, error) {
	m, err := c.Peers.Call(ctx, entry, &peer.Fetch{Stream: _fleetStream, From: from})
	if err != nil {
		return nil, fmt.Errorf("fetch records of %s: %w", entry, err)
	}
	r, ok := m.(*peer.Records)
	if !ok {
		return nil, fmt.Errorf("fetch records of %s: %w", entry, ErrUnexpectedReply)
	}
	if from < r.GetFirst() {
		return nil, fmt.Errorf("fetch records of %s from offset %d: %w", entry, from, ErrExpired)
	}
	return recordsFrom(r.GetRecords()), nil
}

// callForAck calls an entry and expects an Ack.
func (c *Client) callForAck(ctx context.Context, entry string, m peer.Message) error {
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	a, err := c.Peers.Call(ctx, entry, m)
	if err != nil {
		return fmt.Errorf("call %s: %w", entry, err)
	}
	if _, ok := a.(*peer.Ack); !ok {
		return fmt.Errorf("call %s: %w", entry, ErrUnexpectedReply)
	}
	return nil
}
