// Package feed follows topics of the platform's store that others write: the
// operator's configuration and waves, and the list of upstreams. A Follower reads the
// newest record of each key first, and new records after that:
//
//	f := feed.Follower{Store: store, Name: platform.TopicOperator, OnRecords: apply}
//	f.Run(ctx)
package feed

import (
	"context"
	"errors"
	"net/http"
	"time"

	"fescuelanding/fleet/wait"
	"fescuelanding/platform"
)

const (
	// _readWait is how long the store holds a long poll open, unless Wait says otherwise. With
	// _replySlack it limits a read, and thereby how long a dead connection goes unnoticed.
	_readWait = 1500 * time.Millisecond
	// _replySlack is the time allowed for a response beyond its wait. A snapshot is allowed
	// twice as much after each failure, up to that of a long poll, as it may have many pages.
	_replySlack = 600 * time.Millisecond
	// _retryTimeout limits a read after a failed one. It asks for the present records without
	// a wait, and allows for a store that is slow.
	_retryTimeout = 1200 * time.Millisecond
	// _pollInterval is the time between reads of a polled topic. The list of upstreams
	// changes with each heartbeat; the interval bounds how late a drain is noticed.
	_pollInterval = 200 * time.Millisecond
	_retryPause   = 150 * time.Millisecond
)

// Follower reads partition 0 of a keyed topic. Set the exported fields before Run.
type Follower struct {
	Store *platform.Store
	// Name is the name of the topic.
	Name string
	// Poll reads the topic at intervals. If it is false, reads are long polls.
	Poll bool
	// OnRecords receives new records in log order. If snapshot is true, they are the
	// newest records of all keys and replace everything received before. It is called
	// on the goroutine of Run.
	OnRecords func(records []platform.Record, snapshot bool)
	// Wait returns how long a long poll waits for a record. It may be nil.
	Wait func() time.Duration
	// OnConfirmed is called after OnRecords when all records that the topic had at the given
	// time have been received. It may be nil.
	OnConfirmed func(at time.Time)
	// OnStoreStatus is called with an error when reads begin to fail, and with nil
	// when they succeed again. It may be nil.
	OnStoreStatus func(error)

	next    int64
	failing bool
	// timeout limits the next read of a snapshot; zero for _replySlack.
	timeout time.Duration
}

// Run follows the topic until ctx ends.
func (t *Follower) Run(ctx context.Context) {
	snapshot := true
	for ctx.Err() == nil {
		var err error
		if snapshot {
			err = t.readSnapshot(ctx)
		} else {
			err = t.readNew(ctx)
		}
		t.reportStatus(err)
		pause := time.Duration(0)
		switch {
		case err == nil:
			snapshot = false
			if t.Poll {
				pause = _pollInterval
			}
		case platform.Status(err) == http.StatusGone:
			// The next records have expired, or the topic was recreated.
			snapshot = true
		case errors.Is(err, platform.ErrRecords):
			// The next record can't be read. A snapshot is read past it.
			snapshot, pause = true, _retryPause
		default:
			pause = _retryPause
		}
		wait.For(ctx, pause)
	}
}

func (t *Follower) reportStatus(err error) {
	if (err != nil) == t.failing || platform.Status(err) == http.StatusGone {
		return
	}
	t.failing = err != nil
	if t.OnStoreStatus != nil {
		t.OnStoreStatus(err)
	}
}

func (t *Follower) readSnapshot(ctx context.Context) error {
	at, limit := time.Now(), max(_replySlack, t.timeout)
	c, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	b, err := t.Store.Newest(c, t.Name, 0)
	if err != nil {
		t.timeout = min(2*limit, _readWait+_replySlack)
		return err
	}
	t.timeout = 0
	t.next = b.Next
	t.OnRecords(b.Records, true)
	t.confirm(at)
	return nil
}

func (t *Follower) readNew(ctx context.Context) error {
	wait := _readWait
	if t.Wait != nil {
		wait = t.Wait()
	}
	timeout := wait + _replySlack
	switch {
	case t.Poll:
		wait, timeout = 0, _replySlack
	case t.failing:
		wait, timeout = 0, _retryTimeout
	}
	at := time.Now()
	c, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	b, err := t.Store.Read(c, t.Name, 0, t.next, wait)
	if err != nil {
		return err
	}
	if b.End < t.next {
		// The topic was recreated: report it like expired records, so that Run reads
		// a new snapshot.
		return &platform.Error{Call: "read " + t.Name, Status: http.StatusGone}
	}
	t.next = b.Next
	if len(b.Records) > 0 {
		t.OnRecords(b.Records, false)
	}
	if b.Next >= b.End {
		t.confirm(at)
	}
	return nil
}

func (t *Follower) confirm(at time.Time) {
	if t.OnConfirmed != nil {
		t.OnConfirmed(at)
	}
}
