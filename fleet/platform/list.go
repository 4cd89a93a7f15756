package platform

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// _asOfHeader has the as-of time of a list that is not sent again, in
// milliseconds since 1970.
const _asOfHeader = "As-Of-Unix-Ms"

type liveAnswer struct {
	AsOfUnixMs int64      `json:"asOfUnixMs"`
	Hosts      []liveHost `json:"hosts"`
}

type liveHost struct {
	Name  string    `json:"name"`
	State HostState `json:"state"`
}

// taggedList is the last whole list and the tag it came with. It is not
// changed once made.
type taggedList struct {
	tag   string
	hosts []liveHost
}

// live reads the list, whole only where it differs from the last one. The
// transport asks for gzip by itself.
func (h *httpDialect) live(ctx context.Context) ([]LiveHost, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+"/hosts", http.NoBody)
	if err != nil {
		return nil, readError(fmt.Errorf("make request: %w", err))
	}
	l := h.list.Load()
	if l != nil {
		r.Header.Set("If-None-Match", l.tag)
	}
	a, _, err := h.send(r)
	if err != nil {
		return nil, readError(err)
	}
	defer a.Body.Close()
	if l != nil && a.StatusCode == http.StatusNotModified {
		return l.unchanged(a.Header.Get(_asOfHeader))
	}
	if err := checkStatus(a); err != nil {
		return nil, readError(err)
	}
	return h.whole(a)
}

// whole reads a whole list, and keeps it where it has a tag.
func (h *httpDialect) whole(a *http.Response) ([]LiveHost, error) {
	var m liveAnswer
	if err := decode(a.Body, &m); err != nil {
		return nil, readError(err)
	}
	l := &taggedList{tag: a.Header.Get("ETag"), hosts: m.Hosts}
	if l.tag != "" {
		h.list.Store(l)
	}
	return l.at(m.AsOfUnixMs), nil
}

// unchanged returns the list at the time of an answer without one. Without a
// time the answer is unusable: a list must not seem newer than it is.
func (l *taggedList) unchanged(asOf string) ([]LiveHost, error) {
	ms, err := strconv.ParseInt(asOf, 10, 64)
	if err != nil {
		return nil, readError(fmt.Errorf("unchanged list as of %q: %w", asOf, err))
	}
	return l.at(ms), nil
}

// at returns the hosts as of a time in milliseconds since 1970.
func (l *taggedList) at(ms int64) []LiveHost {
	t := time.UnixMilli(ms)
	hosts := make([]LiveHost, len(l.hosts))
	for i, v := range l.hosts {
		hosts[i] = LiveHost{name: v.Name, state: v.State, asOf: t}
	}
	return hosts
}
