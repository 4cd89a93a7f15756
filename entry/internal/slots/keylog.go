package slots

import (
	"context"
	"errors"
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/keys"
	"fescuelanding/fleet/platform"
)

const (
	// KeysStream is the platform's stream of started keys.
	KeysStream = "keys"

	_appendTimeout = 2 * time.Second
	// _unconfirmedTimeout is how long the keys of an append with an unknown
	// outcome may take to be read back before they are refused.
	_unconfirmedTimeout = time.Second
	// _maxInUse is the size at which keyLog.inUse is pruned. Each new grant then
	// removes the keys of grants that expire earlier than the new one, since their
	// slots may never be returned.
	_maxInUse = 4096
	// _releaseTimeout is how long a new broker waits for the former one to
	// release keys of requests that never ran.
	_releaseTimeout = 300 * time.Millisecond
)

// keyLog is the journal of started keys, with the requests and appends that
// depend on it.
type keyLog struct {
	journal keys.Journal
	batcher keys.Batcher
	// waiting maps each key that has not been read back from the log to the
	// request that waits for it.
	waiting map[keys.Key]keyWaiter
	// starting maps a request to its key while the broker decides on the grant.
	// inUse maps a granted slot to the key of its request.
	starting map[uint64]startedKey
	inUse    map[uint64]startedKey
	// appending is set while an append is in progress.
	appending bool
	// unconfirmed contains the appends whose outcome is unknown, oldest first.
	unconfirmed []unconfirmedAppend
}

// unconfirmedAppend is a record that may yet be read back from the log.
type unconfirmedAppend struct {
	record *keys.Record
	until  time.Time
}

// startedKey is a key that this process started in a term.
type startedKey struct {
	key    keys.Key
	offset uint64
	term   uint64
	until  time.Time
}

// grant moves the key of a request, if it has one, to its granted slot.
func (l *keyLog) grant(g broker.Grant) {
	s, ok := l.starting[g.Request]
	if !ok {
		return
	}
	delete(l.starting, g.Request)
	if len(l.inUse) >= _maxInUse {
		maps.DeleteFunc(l.inUse, func(_ uint64, o startedKey) bool { return o.until.Before(g.Until) })
	}
	s.until = g.Until
	l.inUse[g.Slot] = s
}

// remove removes the key of a slot and returns it, or a zero value if it has
// none.
func (l *keyLog) remove(slot uint64) startedKey {
	s := l.inUse[slot]
	delete(l.inUse, slot)
	return s
}

// idle reports whether no key is being written to the log or read from it.
func (l *keyLog) idle() bool {
	return !l.appending && len(l.waiting) == 0 && len(l.unconfirmed) == 0 && l.batcher.Next().IsZero()
}

// keyWaiter is a request that waits for its key to be read back.
type keyWaiter struct {
	pool    string
	term    uint64
	request uint64
}

// journal adds a key to the next append.
func (d *Dispatcher) journal(now time.Time, p *pool, o broker.Journal) {
	d.keyLog.waiting[o.Key] = keyWaiter{pool: p.name, term: p.term, request: o.Request}
	d.keyLog.batcher.Add(keys.Pending{Pool: p.name, Term: o.Term, Key: o.Key})
	d.flushKeys(now)
	d.updateKeysNeeded(now)
}

// flushKeys starts an append if one is due. Only one append runs at a time,
// since a batch must not reach the log before the fence that it relies on.
func (d *Dispatcher) flushKeys(now time.Time) {
	if d.keyLog.appending {
		return
	}
	r := d.keyLog.batcher.Flush(now)
	if r == nil {
		return
	}
	r.Entry, r.Incarnation = d.Self.Name, d.Self.Incarnation
	d.keyLog.appending = true
	go func() {
		ctx, cancel := context.WithTimeout(d.ctx, _appendTimeout)
		defer cancel()
		d.postBlocking(appendDone{record: r, err: d.Append(ctx, r)})
	}()
}

// handleAppendDone handles the result of an append. After a failure, the fences
// and releases of the record are queued again, so that the fences still precede
// any new batch in the log. The requests with the record's keys are refused. If
// the outcome of the append is unknown, these requests wait for their keys to be
// read back instead: a key that is refused here but is in the log would count as
// started at every other broker.
func (d *Dispatcher) handleAppendDone(now time.Time, m appendDone) {
	d.keyLog.appending = false
	if m.err == nil {
		return
	}
	if d.Log != nil {
		d.Log.Warn("Append to the keys stream failed; the requests with its keys are refused, or wait for the keys if the outcome is unknown.", "err", m.err)
	}
	for _, f := range m.record.GetFences() {
		if p := d.pools[f.GetPool()]; p != nil && p.term == f.GetTerm() {
			d.keyLog.batcher.AddFence(f.GetPool(), f.GetTerm())
		}
	}
	for _, l := range m.record.GetReleases() {
		for k := range keys.All(l.GetKeys()) {
			d.keyLog.batcher.AddRelease(k, l.GetOffset())
		}
	}
	if errors.Is(m.err, platform.ErrUnknownOutcome) {
		d.keyLog.unconfirmed = append(d.keyLog.unconfirmed, unconfirmedAppend{record: m.record, until: now.Add(_unconfirmedTimeout)})
		return
	}
	d.refuseKeys(now, m.record)
}

// expireUnconfirmed refuses the keys of unconfirmed appends that were not read
// back in time.
func (d *Dispatcher) expireUnconfirmed(now time.Time) {
	for len(d.keyLog.unconfirmed) > 0 && !now.Before(d.keyLog.unconfirmed[0].until) {
		d.refuseKeys(now, d.keyLog.unconfirmed[0].record)
		d.keyLog.unconfirmed = d.keyLog.unconfirmed[1:]
	}
}

func (d *Dispatcher) refuseKeys(now time.Time, r *keys.Record) {
	for _, b := range r.GetBatches() {
		for k := range keys.All(b.GetKeys()) {
			d.resolveKey(now, k, broker.JournalFailed)
		}
	}
}

// handleKeys applies records of the keys stream and resolves the requests that
// wait for them.
func (d *Dispatcher) handleKeys(now time.Time, l []platform.Record) {
	for _, r := range l {
		var m keys.Record
		if err := proto.Unmarshal(r.Data(), &m); err != nil {
			m.Reset()
		}
		starts, err := d.keyLog.journal.Apply(r.Offset(), &m)
		if err != nil && d.Log != nil {
			d.Log.Warn("Skipped damaged keys in a record of the keys stream.", "err", err)
		}
		for _, s := range starts {
			d.handleStart(now, s)
		}
	}
	d.keyLog.journal.Expire(now)
}

// handleStart handles one key read from the log. If this process started the
// key but its request no longer waits, that request has not run. The key is
// then marked as not run, so that the next request with it may run. If the pool
// has another broker by now, the key is released through the log instead.
func (d *Dispatcher) handleStart(now time.Time, s keys.StartResult) {
	own := s.Entry == d.Self.Name && s.Incarnation == d.Self.Incarnation
	if !own {
		return
	}
	w, waits := d.keyLog.waiting[s.Key]
	waits = waits && w.term == s.Term
	switch {
	case s.Verdict == keys.Started && d.ownedPool(s.Pool, s.Term) == nil:
		delete(d.keyLog.waiting, s.Key)
		d.keyLog.batcher.AddRelease(s.Key, s.Offset)
	case s.Verdict == keys.Started && waits:
		d.keyLog.starting[w.request] = startedKey{key: s.Key, offset: s.Offset, term: s.Term}
		d.resolveKey(now, s.Key, broker.JournalStarted)
		delete(d.keyLog.starting, w.request)
	case s.Verdict == keys.Started:
		d.keyLog.journal.Finish(s.Key, keys.NotRun, nil)
	case waits && s.Verdict == keys.Duplicate:
		d.resolveKey(now, s.Key, broker.JournalDuplicate)
	case waits:
		d.resolveKey(now, s.Key, broker.JournalFailed)
	}
}

// resolveKey passes the result for a key to the broker of the request that
// waits for it.
func (d *Dispatcher) resolveKey(now time.Time, k keys.Key, r broker.JournalResult) {
	w, ok := d.keyLog.waiting[k]
	if !ok {
		return
	}
	delete(d.keyLog.waiting, k)
	if p := d.ownedPool(w.pool, w.term); p != nil {
		d.perform(now, p, p.broker.Journaled(now, w.request, r))
	}
}

// ownedPool returns a pool that this process owns in the given term, or nil.
func (d *Dispatcher) ownedPool(name string, term uint64) *pool {
	if p := d.pools[name]; p != nil && p.term == term {
		return p
	}
	return nil
}

// mayBeReleased reports whether a release of a key by the former broker may
// still arrive. This is so for a short time after a takeover if the key was
// started and its outcome is unknown.
func (d *Dispatcher) mayBeReleased(now time.Time, p *pool, k keys.Key) bool {
	if k.IsZero() || !now.Before(p.releaseDeadline) || !d.keyLog.journal.Started(k) {
		return false
	}
	o, _ := d.keyLog.journal.Outcome(k)
	return o == keys.Unknown
}
