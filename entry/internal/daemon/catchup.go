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
	_fetchAfter = time.Second
	// _outageFreshness is how long the view counts as fresh after each tick during
	// an outage of the log.
	_outageFreshness = 3 * _controlTick
)

// extendFreshness extends the time until which the view counts as fresh, for
// either of two reasons.
//
// First, a peer has read the log to its head, and its applied offset isn't above
// the view's. Then the view was current when the peer read the head.
//
// Second, the log seems to be unavailable to all entries, so that nothing can
// have changed. This is assumed if all of the following hold: this entry and the
// connected peers are a majority; none of them has read the head within half the
// staleness bound; and this entry has read the head at least once.
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
		at := s.LastReceived().Add(-s.ProofAge()) // When the peer last read the head.
		if now.Sub(at) < bound/2 {
			outage = false
		}
		if s.AppliedOffset() <= v.Offset() {
			d.table.SetFreshUntil(at.Add(bound))
		}
	}
	_, everRead := d.lastHeadRead()
	if outage && everRead && majority(v, connected) {
		d.table.SetFreshUntil(now.Add(_outageFreshness))
	}
}

// fetchRecords gets missing records from the most advanced peer while the log
// can't be read or no longer has them. A fetch doesn't count as reading the log
// to its head. An entry that has only fetched therefore doesn't register, and must
// not send to hosts, because the steps there don't wait for its confirmations.
func (c *controller) fetchRecords(now time.Time, connected map[string]peer.Status) {
	d := c.daemon
	last, ok := d.lastHeadRead()
	if !ok {
		last = d.start // Wait _fetchAfter for the first read of the log, too.
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

// restoreState replaces this entry's state by a peer's checkpoint.
func (c *controller) restoreState(ctx context.Context, entry string) error {
	l, err := c.daemon.remote.FetchCheckpoint(ctx, entry)
	if err != nil {
		return err
	}
	if err := c.daemon.follower.Restore(l); err != nil {
		return fmt.Errorf("restore state from checkpoint of %s: %w", entry, err)
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
