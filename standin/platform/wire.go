package platform

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"time"
)

type appendAnswer struct {
	Offset uint64 `json:"offset"`
}

type readAnswer struct {
	First   uint64       `json:"first"`
	Head    uint64       `json:"head"`
	Records []readRecord `json:"records"`
}

type readRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// readQuery holds the query parameters of a read.
type readQuery struct {
	from  uint64
	limit int
	wait  time.Duration
}

func parseRead(v url.Values) (readQuery, error) {
	from, err := strconv.ParseUint(v.Get("from"), 10, 64)
	if err != nil || from == 0 {
		return readQuery{}, fmt.Errorf("from %q is no offset", v.Get("from"))
	}
	q := readQuery{from: from, limit: _maxReadRecords}
	if t := v.Get("limit"); t != "" {
		n, err := strconv.Atoi(t)
		if err != nil || n < 1 {
			return readQuery{}, fmt.Errorf("limit %q is no positive number", t)
		}
		q.limit = min(n, _maxReadRecords)
	}
	if t := v.Get("waitMs"); t != "" {
		n, err := strconv.ParseInt(t, 10, 64)
		if err != nil || n < 0 {
			return readQuery{}, fmt.Errorf("waitMs %q is no duration", t)
		}
		q.wait = min(time.Duration(n)*time.Millisecond, _maxReadWait)
	}
	return q, nil
}

func contextWithVia(ctx context.Context, via string) context.Context {
	return context.WithValue(ctx, viaKey{}, via)
}
