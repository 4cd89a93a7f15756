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
	// _fetchAfter is how long the log may go unread before records are fetched
	// from a peer.
	_fetchAfter      = time.Second
	_outageFreshness = 3 * _controlTick
)

// extendFreshness extends the time until which the view counts as fresh. A peer
// that has read the log to its head, and has applied no more of it than this
// entry, shows that this view was current at that time. If neither this entry
// nor a connected peer has read the head within half the staleness bound, and
// together they are a majority, the log itself is unavailable; then nothing can
// have changed.
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

// fetchRecords gets missing records from the most advanced peer while the log
// can't be read or no longer has them. This doesn't count as reading the log to
// its head, so an unregistered entry stays unregistered: other entries don't
// wait for its confirmations, and it must not send to hosts.
func (c *controller) fetchRecords(now time.Time, connected map[string]peer.Status) {
	d := c.daemon
	last, ok := d.lastHeadRead()
	if !ok {
		last = d.start // Give the log a chance to be read first.
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

// restoreState replaces the state by a peer's checkpoint.
func (c *controller) restoreState(ctx context.Context, entry string) error {
	l, err := c.daemon.remote.FetchCheckpoint(ctx, entry)
	if err != nil {
		return err
	}
	if err := c.daemon.follower.Restore(l); err != nil {
		return fmt.Errorf("restore state of %s: %w", entry, err)
	}
	c.daemon.log.Info("State was restored from a peer's checkpoint.", "entry", entry, "offset", l[0].GetAtOffset())
	return nil
}

// mostAdvanced returns the connected peer with the highest applied offset, if
// that is above the given offset.
func mostAdvanced(connected map[string]peer.Status, offset uint64) (entry string, ok bool) {
	for n, s := range connected {
		if s.AppliedOffset() > offset {
			entry, offset, ok = n, s.AppliedOffset(), true
		}
	}
	return entry, ok
}
