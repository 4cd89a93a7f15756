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
	// ErrNotOwner means that the entry asked is not the pool's broker, or is
	// too busy to answer.
	ErrNotOwner = errors.New("entry does not answer for the pool")
	// ErrReply is a reply of a kind that does not fit the question.
	ErrUnexpectedReply = errors.New("reply does not fit")
	// ErrExpired means that the entry asked no longer keeps the records.
	ErrExpired = errors.New("records are no longer kept")
)

// Client asks other entries. Its fields are set before use.
type Client struct {
	Self  broker.Entry
	Peers *peer.Set
}

// Ask asks the broker of a pool, and waits as long as the broker queues.
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

// Cancel takes an ask back.
func (c *Client) Cancel(entry, pool string, request uint64) {
	_ = c.Peers.Send(entry, &peer.Cancel{Pool: pool, RequestId: request})
}

// Done gives a slot back; nil means that the broker has noted it.
func (c *Client) Done(entry, pool string, slot uint64, r broker.Result) error {
	return c.acknowledged(context.Background(), entry, doneMessage(pool, slot, r))
}

// Witness has an entry remember a hold of this one, the pool's broker.
func (c *Client) AddWitnessed(ctx context.Context, entry, pool string, h broker.Hold) error {
	return c.AddWitnessedInTerm(ctx, entry, pool, h.Term, h)
}

// WitnessUnder has an entry remember a hold that was granted under an older term
// than that of this entry, the pool's broker.
func (c *Client) AddWitnessedInTerm(ctx context.Context, entry, pool string, term uint64, h broker.Hold) error {
	return c.acknowledged(ctx, entry, &peer.Witness{Pool: pool, Term: term, Hold: holdMessage(time.Now(), h)})
}

// Unwitness has an entry forget a hold.
func (c *Client) RemoveWitnessed(entry, pool string, h broker.Hold) {
	_ = c.Peers.Send(entry, &peer.Witness{Pool: pool, Term: h.Term, Hold: holdMessage(time.Now(), h), Released: true})
}

// FetchHolds asks an entry what it holds and has witnessed in a pool.
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

// Fetch asks an entry for records of the fleet stream from an offset on. It
// returns ErrExpired where the entry has applied that record but
// keeps it no longer, so that a checkpoint is needed.
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
		return nil, fmt.Errorf("fetch records of %s from %d: %w", entry, from, ErrExpired)
	}
	return recordsFrom(r.GetRecords()), nil
}

func (c *Client) acknowledged(ctx context.Context, entry string, m peer.Message) error {
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
