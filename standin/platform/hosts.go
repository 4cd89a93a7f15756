package platform

import (
	"net/http"
	"sort"
	"time"
)

// Host is a host of the live list.
type Host struct {
	Name string `json:"name"`
	// State is live or leaving; empty takes the host off the list.
	State string `json:"state"`
}

type hostsAnswer struct {
	AsOfUnixMs int64  `json:"asOfUnixMs"`
	Hosts      []Host `json:"hosts"`
}

// hostChange is a change of the list and when it happened.
type hostChange struct {
	host Host
	at   time.Time
}

// hostList is the history of the list, from which it can be told late.
type hostList struct {
	changes []hostChange
	lag     time.Duration
}

func (l *hostList) set(h Host, now time.Time) {
	l.changes = append(l.changes, hostChange{host: h, at: now})
}

// at returns the list, sorted by name, as it was at a time.
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

func (s *Server) serveHosts(w http.ResponseWriter, c call) {
	answer(w, s.liveHosts(c.fault, time.Now()))
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
