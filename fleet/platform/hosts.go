package platform

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// _asOfHeader is the header of a 304 response with the time at which the platform
// compiled the unchanged list, in milliseconds since 1970.
const _asOfHeader = "As-Of-Unix-Ms"

type liveResponse struct {
	AsOfUnixMs int64      `json:"asOfUnixMs"`
	Hosts      []liveHost `json:"hosts"`
}

type liveHost struct {
	Name  string    `json:"name"`
	State HostState `json:"state"`
}

// taggedList is a complete list with its ETag. It is immutable.
type taggedList struct {
	tag   string
	hosts []liveHost
}

// live reads the list. The platform sends it only if it differs from the last one.
// The transport requests gzip by itself.
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
	return h.readList(a)
}

// readList decodes a complete list and stores it if it has an ETag.
func (h *httpDialect) readList(a *http.Response) ([]LiveHost, error) {
	var m liveResponse
	if err := decode(a.Body, &m); err != nil {
		return nil, readError(err)
	}
	l := &taggedList{tag: a.Header.Get("ETag"), hosts: m.Hosts}
	if l.tag != "" {
		h.list.Store(l)
	}
	return l.hostsAsOf(m.AsOfUnixMs), nil
}

// unchanged returns the list with the time of a 304 response. A response without a
// time is unusable, because a list must not appear newer than it is.
func (l *taggedList) unchanged(asOf string) ([]LiveHost, error) {
	ms, err := strconv.ParseInt(asOf, 10, 64)
	if err != nil {
		return nil, readError(fmt.Errorf("unchanged list with invalid time %q: %w", asOf, err))
	}
	return l.hostsAsOf(ms), nil
}

// hostsAsOf returns the hosts as of a time in milliseconds since 1970.
func (l *taggedList) hostsAsOf(ms int64) []LiveHost {
	t := time.UnixMilli(ms)
	hosts := make([]LiveHost, len(l.hosts))
	for i, v := range l.hosts {
		hosts[i] = LiveHost{name: v.Name, state: v.State, asOf: t}
	}
	return hosts
}
