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
	// _wait is how long a read waits for a record. A connection that went
	// silent is noticed after it.
	_wait = 1500 * time.Millisecond
	// _slack is what an answer may take beyond its wait.
	_slack = 600 * time.Millisecond
	// _listInterval is between reads of the list of upstreams, which changes
	// with each heartbeat: a draining upstream is known after it.
	_listInterval = 200 * time.Millisecond
	_pause        = 150 * time.Millisecond
)

// Topic follows the newest record of each key of a topic.
type Follower struct {
	Store *platform.Store
	Name  string
	// Poll is set for a topic that is read at intervals; else reads wait for a
	// record.
	Poll bool
	// OnRecords takes the newest records, in order. With whole set they are all
	// that there is. It runs on the goroutine of Run.
	OnRecords func(records []platform.Record, whole bool)
	// OnTrouble is called when reads begin to fail, and with nil when they work
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
			err = t.all(ctx)
		} else {
			err = t.more(ctx)
		}
		t.trouble(err)
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
			pause = _pause
		}
		wait.For(ctx, pause)
	}
}

func (t *Follower) trouble(err error) {
	if (err != nil) == t.failing || platform.Status(err) == http.StatusGone {
		return
	}
	t.failing = err != nil
	if t.OnStoreStatus != nil {
		t.OnStoreStatus(err)
	}
}

func (t *Follower) all(ctx context.Context) error {
	c, cancel := context.WithTimeout(ctx, _wait+_slack)
	defer cancel()
	b, err := t.Store.Newest(c, t.Name, 0)
	if err != nil {
		return err
	}
	t.next = b.Next
	t.OnRecords(b.Records, true)
	return nil
}

func (t *Follower) more(ctx context.Context) error {
	wait := _wait
	if t.Poll {
		wait = 0
	}
	c, cancel := context.WithTimeout(ctx, wait+_slack)
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
