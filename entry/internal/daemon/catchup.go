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
	_fetchInterval = 200 * time.Millisecond
	// _fetchAfter is how long the log may be silent before peers are asked.
	_fetchAfter      = time.Second
	_outageFreshness = 3 * _controlTick
)

// refresh proves the view's age by what peers prove, or by their all lacking
// proof alike: then the log is out and nothing can have changed.
func (c *controller) extendFreshness(now time.Time, v *view.View, connected map[string]peer.Status) {
	d := c.daemon
	bound := d.stalenessBound()
	outage := true
	if t, ok := d.lastHeadRead(); ok && now.Sub(t) < bound/2 {
		outage = false
	}
	for _, s := range connected {
		if s.ProofAge() < 0 {
			continue
		}
		at := s.Heard().Add(-s.ProofAge())
		if now.Sub(at) < bound/2 {
			outage = false
		}
		if s.AppliedOffset() <= v.Offset() {
			d.table.Fresh(at.Add(bound))
		}
	}
	_, everRead := d.lastHeadRead()
	if outage && everRead && majority(v, connected) {
		d.table.Fresh(now.Add(_outageFreshness))
	}
}

// fetch takes what the furthest peer is ahead, while the log can't be read or
// has dropped what this entry needs. It is no proof of the log's head, and does
// not register: an entry that others don't wait for must not send.
func (c *controller) fetchRecords(now time.Time, connected map[string]peer.Status) {
	d := c.daemon
	last, ok := d.lastHeadRead()
	if !ok {
		last = d.start // The log comes first.
	}
	if now.Sub(last) < _fetchAfter {
		return
	}
	from := d.follower.Offset()
	entry, ok := mostAdvanced(connected, from)
	if !ok {
		return
	}
	c.startJob(now, "fetch", _fetchInterval, func(ctx context.Context) error {
		if from == 0 {
			return c.restoreState(ctx, entry)
		}
		l, err := d.remote.Fetch(ctx, entry, from+1)
		if errors.Is(err, remote.ErrExpired) {
			return c.restoreState(ctx, entry)
		}
		d.follower.Offer(l)
		return err
	})
}

// restore takes the state of a peer.
func (c *controller) restoreState(ctx context.Context, entry string) error {
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
func mostAdvanced(connected map[string]peer.Status, offset uint64) (entry string, ok bool) {
	for n, s := range connected {
		if s.AppliedOffset() > offset {
			entry, offset, ok = n, s.AppliedOffset(), true
		}
	}
	return entry, ok
}
