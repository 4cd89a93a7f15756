package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fescuelanding/entry/internal/remote"
	"fescuelanding/entry/internal/view"
	"fescuelanding/entry/peer"
)

const (
	_fetchEvery = 200 * time.Millisecond
	// _logFirst is how long the log may be silent before peers are asked.
	_logFirst    = time.Second
	_outageGrace = 3 * _controlTick
)

// refresh proves the view's age by what peers prove, or by their all lacking
// proof alike: then the log is out and nothing can have changed.
func (c *control) refresh(now time.Time, v *view.View, heard map[string]peer.Status) {
	d := c.daemon
	bound := d.stalenessBound()
	outage := true
	if t, ok := d.proof(); ok && now.Sub(t) < bound/2 {
		outage = false
	}
	for _, s := range heard {
		if s.ProofAge() < 0 {
			continue
		}
		at := s.LastReceived().Add(-s.ProofAge())
		if now.Sub(at) < bound/2 {
			outage = false
		}
		if s.AppliedOffset() <= v.Offset() {
			d.table.SetFreshUntil(at.Add(bound))
		}
	}
	_, proved := d.proof()
	if outage && proved && majority(v, heard) {
		d.table.SetFreshUntil(now.Add(_outageGrace))
	}
}

// fetch takes what the furthest peer is ahead, while the log can't be read or
// has dropped what this entry needs. It is no proof of the log's head, and does
// not register: an entry that others don't wait for must not send.
func (c *control) fetch(now time.Time, heard map[string]peer.Status) {
	d := c.daemon
	last, ok := d.proof()
	if !ok {
		last = d.start // The log comes first.
	}
	if now.Sub(last) < _logFirst {
		return
	}
	from := d.follower.Offset()
	entry, ok := furthest(heard, from)
	if !ok {
		return
	}
	c.start(now, "fetch", _fetchEvery, func(ctx context.Context) error {
		if from == 0 {
			return c.restore(ctx, entry)
		}
		l, err := d.remote.Fetch(ctx, entry, from+1)
		if errors.Is(err, remote.ErrExpired) {
			return c.restore(ctx, entry)
		}
		d.follower.Offer(l)
		return err
	})
}

// restore takes the state of a peer.
func (c *control) restore(ctx context.Context, entry string) error {
	l, err := c.daemon.remote.FetchCheckpoint(ctx, entry)
	if err != nil {
		return err
	}
	if err := c.daemon.follower.Restore(l); err != nil {
		return fmt.Errorf("take state of %s: %w", entry, err)
	}
	c.daemon.log.Info("State was taken from a peer.", "entry", entry, "offset", l[0].GetAtOffset())
	return nil
}

// furthest returns the connected peer that has applied most, if that is more
// than the offset.
func furthest(heard map[string]peer.Status, offset uint64) (entry string, ok bool) {
	for n, s := range heard {
		if s.AppliedOffset() > offset {
			entry, offset, ok = n, s.AppliedOffset(), true
		}
	}
	return entry, ok
}
