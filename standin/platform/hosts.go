package platform

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// _asOfHeader carries the time that the list describes, in milliseconds since
// 1970.
const _asOfHeader = "As-Of-Unix-Ms"

// Host is a host of the live list.
type Host struct {
	Name string `json:"name"`
	// State is live or leaving; empty removes the host from the list.
	State string `json:"state"`
}

type hostsAnswer struct {
	AsOfUnixMs int64  `json:"asOfUnixMs"`
	Hosts      []Host `json:"hosts"`
}

// hostChange is a change to the list, with its time.
type hostChange struct {
	host Host
	at   time.Time
}

// hostList is the history of changes to the list, kept so that the list can be
// served as it was some time ago.
type hostList struct {
	changes []hostChange
	lag     time.Duration
}

func (l *hostList) set(h Host, now time.Time) {
	l.changes = append(l.changes, hostChange{host: h, at: now})
}

// at returns the list as it was at time t, sorted by name.
func (l *hostList) at(t time.Time) []Host {
	state := make(map[string]string)
	for _, c := range l.changes {
		if !c.at.After(t) {
			state[c.host.Name] = c.host.State
		}
	}
	hosts := []Host{}
	for n, s := range state {
		if s != "" {
			hosts = append(hosts, Host{Name: n, State: s})
		}
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].Name < hosts[j].Name })
	return hosts
}

// serveHosts sends the list, or only its time if the client already has the
// same content.
func (s *Server) serveHosts(w http.ResponseWriter, c call) {
	a := s.liveHosts(c.fault, time.Now())
	h := w.Header()
	h.Set("ETag", a.tag())
	h.Set(_asOfHeader, strconv.FormatInt(a.AsOfUnixMs, 10))
	if c.Header.Get("If-None-Match") == a.tag() {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if !strings.Contains(c.Header.Get("Accept-Encoding"), "gzip") {
		answer(w, a)
		return
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Encoding", "gzip")
	z := gzip.NewWriter(w)
	defer z.Close()
	_ = json.NewEncoder(z).Encode(a)
}

// tag returns an entity tag for the list's content, independent of its time. It
// is a weak tag, since it is the same with and without compression.
func (a hostsAnswer) tag() string {
	d := xxhash.New()
	for _, h := range a.Hosts {
		_, _ = d.WriteString(h.Name + "\x00" + h.State + "\x00")
	}
	return fmt.Sprintf(`W/"%016x"`, d.Sum64())
}

func (s *Server) liveHosts(f Fault, now time.Time) hostsAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := now.Add(-s.hosts.lag)
	if f.Mode == ModeStale {
		t = f.since.Add(-s.hosts.lag)
	}
	return hostsAnswer{AsOfUnixMs: t.UnixMilli(), Hosts: s.hosts.at(t)}
}
