// Package feed follows what others write to the platform's store: the
// operator's configuration and waves, and the list of upstreams.
package feed

import (
	"context"
	"net/http"
	"time"

	"fescuelanding/fleet/wait"
	"fescuelanding/platform"
)

const (
	// _readWait is how long a read waits for a record. A connection that went
	// silent is noticed after it.
	_readWait = 1500 * time.Millisecond
	// _replySlack is what an answer may take beyond its wait.
	_replySlack = 600 * time.Millisecond
	// _listInterval is between reads of the list of upstreams, which changes
	// with each heartbeat: a draining upstream is known after it.
	_listInterval = 200 * time.Millisecond
	_retryPause        = 150 * time.Millisecond
)

// Follower follows the newest record of each key of a topic.
type Follower struct {
	Store *platform.Store
	Name  string
	// Poll is set for a topic that is read at intervals; else reads wait for a
	// record.
	Poll bool
	// OnRecords takes the newest records, in order. With whole set they are all
	// that there is. It runs on the goroutine of Run.
	OnRecords func(records []platform.Record, whole bool)
	// OnStoreStatus is called when reads begin to fail, and with nil when they work
	// again.
	OnStoreStatus func(error)

	next    int64
	failing bool
}

// Run follows the topic until ctx ends.
func (t *Follower) Run(ctx context.Context) {
	whole := true
	for ctx.Err() == nil {
		var err error
		if whole {
			err = t.readSnapshot(ctx)
		} else {
			err = t.readNew(ctx)
		}
		t.reportStatus(err)
		pause := time.Duration(0)
		switch {
		case err == nil:
			whole = false
			if t.Poll {
				pause = _listInterval
			}
		case platform.Status(err) == http.StatusGone:
			whole = true
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
	c, cancel := context.WithTimeout(ctx, _readWait+_replySlack)
	defer cancel()
	b, err := t.Store.Newest(c, t.Name, 0)
	if err != nil {
		return err
	}
	t.next = b.Next
	t.OnRecords(b.Records, true)
	return nil
}

func (t *Follower) readNew(ctx context.Context) error {
	wait := _readWait
	if t.Poll {
		wait = 0
	}
	c, cancel := context.WithTimeout(ctx, wait+_replySlack)
	defer cancel()
	b, err := t.Store.Read(c, t.Name, 0, t.next, wait)
	if err != nil {
		return err
	}
	if b.End < t.next {
		// The topic was begun anew.
		return &platform.Error{Call: "read " + t.Name, Status: http.StatusGone}
	}
	t.next = b.Next
	if len(b.Records) > 0 {
		t.OnRecords(b.Records, false)
	}
	return nil
}
