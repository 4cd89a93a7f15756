package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Settings of one entry. Read fills in the defaults.
type Settings struct {
	name       string
	dataCentre string
	caller     netip.AddrPort
	peer       netip.AddrPort
	admin      netip.AddrPort
	// peerAddress is invalid where the file doesn't give it.
	peerAddress netip.AddrPort
	platform    string
	timeout     time.Duration
	shutdown    time.Duration
	maxBody     int64
	requests    int
	level       string
	seeds       []Seed
}

// Seed is a peer known before the log has been read.
type Seed struct {
	name    string
	address netip.AddrPort
}

// Name returns the peer's name.
func (s Seed) Name() string { return s.name }

// Address returns where the peer listens for peers.
func (s Seed) Address() netip.AddrPort { return s.address }

// Name returns the entry's name.
func (s Settings) Name() string { return s.name }

// DataCentre returns the data centre the entry stands in.
func (s Settings) DataCentre() string { return s.dataCentre }

// Caller returns the address that the balancer sends callers to.
func (s Settings) Caller() netip.AddrPort { return s.caller }

// Peer returns the address for other entries.
func (s Settings) Peer() netip.AddrPort { return s.peer }

// PeerAddress returns the address that the other entries dial: the one they
// reach this entry at, where that isn't its own.
func (s Settings) PeerAddress() netip.AddrPort {
	if s.peerAddress.IsValid() {
		return s.peerAddress
	}
	return s.peer
}

// Admin returns the address of status, readiness and metrics.
func (s Settings) Admin() netip.AddrPort { return s.admin }

// Platform returns the base URL of the platform.
func (s Settings) Platform() string { return s.platform }

// Timeout returns how long one call of the platform may take.
func (s Settings) PlatformTimeout() time.Duration { return s.timeout }

// Shutdown returns how long a graceful shutdown waits for requests.
func (s Settings) ShutdownTimeout() time.Duration { return s.shutdown }

// MaxBody returns the largest request body, in bytes.
func (s Settings) MaxBody() int64 { return s.maxBody }

// Requests returns how many requests may be open at once.
func (s Settings) MaxRequests() int { return s.requests }

// Level returns the lowest level that is logged.
func (s Settings) Level() string { return s.level }

// Seeds returns the peers known before the log has been read.
func (s Settings) Seeds() []Seed { return s.seeds }

// Problem is one thing wrong with a settings file.
type Problem struct {
	File, Section, Key string
	// Want says what would be right.
	Message string
}

// Error implements error.
func (p Problem) Error() string {
	if p.Key == "" {
		return fmt.Sprintf("%s: [%s]: %s", p.File, p.Section, p.Message)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", p.File, p.Section, p.Key, p.Message)
}

// Read reads and checks a file. The error joins every Problem found.
func Read(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, b)
}

// Parse checks the text of a file; the path only names it in errors.
func Parse(path string, text []byte) (Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{}, text)
	if err != nil {
		return Settings{}, fmt.Errorf("parse %s: %w", path, err)
	}
	r := reader{file: path}
	r.defaults()
	for _, s := range f.Sections() {
		r.section(s)
	}
	r.missing(f)
	r.addresses()
	if len(r.problems) > 0 {
		return Settings{}, errors.Join(r.problems...)
	}
	return r.settings, nil
}

// reader gathers settings and problems in one pass over a file.
type reader struct {
	file     string
	settings Settings
	problems []error
}

func (r *reader) problem(section, key, want string) {
	r.problems = append(r.problems, Problem{File: r.file, Section: section, Key: key, Message: want})
}

func (r *reader) defaults() {
	for _, k := range _keys {
		if k.value == "" || k.value == _listenPeer {
			continue
		}
		if err := k.set(&r.settings, k.value); err != nil {
			r.problem(k.section, k.key, err.Error())
		}
	}
}

func (r *reader) section(s *ini.Section) {
	if s.Name() == ini.DefaultSection {
		for _, k := range s.Keys() {
			r.problem("", k.Name(), "must stand in a section; sections are "+sections())
		}
		return
	}
	if n, ok := seedName(s.Name()); ok {
		r.seed(n, s)
		return
	}
	if !known(s.Name()) {
		r.problem(s.Name(), "", "unknown section; sections are "+sections())
		return
	}
	for _, k := range s.Keys() {
		r.key(s.Name(), k)
	}
}

func (r *reader) key(section string, k *ini.Key) {
	d, ok := find(section, k.Name())
	if !ok {
		r.problem(section, k.Name(), "unknown key; keys are "+strings.Join(keysOf(section), ", "))
		return
	}
	if err := d.set(&r.settings, strings.TrimSpace(k.Value())); err != nil {
		r.problem(section, k.Name(), fmt.Sprintf("%q is not right; want %s", k.Value(), d.want))
	}
}

// seed reads a section like [peer "name"].
func (r *reader) seed(name string, s *ini.Section) {
	p := Seed{name: name}
	for _, k := range s.Keys() {
		if k.Name() != "address" {
			r.problem(s.Name(), k.Name(), "unknown key; keys are address")
			continue
		}
		a, err := address(k.Value())
		if err != nil {
			r.problem(s.Name(), k.Name(), fmt.Sprintf("%q is not right; want %s", k.Value(), _wantAddress))
		}
		p.address = a
	}
	if !s.HasKey("address") {
		r.problem(s.Name(), "address", "is missing; want "+_wantAddress)
	}
	r.settings.seeds = append(r.settings.seeds, p)
}

func (r *reader) missing(f *ini.File) {
	for _, k := range _keys {
		if k.value == "" && !f.Section(k.section).HasKey(k.key) {
			r.problem(k.section, k.key, "is missing; want "+k.want)
		}
	}
}

// addresses refuses an address that is given twice, and the entry's own name
// among the peers.
func (r *reader) addresses() {
	s := r.settings
	seen := map[netip.AddrPort]string{}
	check := func(section, key string, a netip.AddrPort) {
		if !a.IsValid() {
			return
		}
		if other, ok := seen[a]; ok {
			r.problem(section, key, fmt.Sprintf("%s is also %s; want an address of its own", a, other))
		}
		seen[a] = "[" + section + "] " + key
	}
	check("listen", "caller", s.caller)
	check("listen", "peer", s.peer)
	check("listen", "admin", s.admin)
	if s.peerAddress != s.peer {
		check("entry", "peerAddress", s.peerAddress)
	}
	for _, p := range s.seeds {
		section := fmt.Sprintf("peer %q", p.name)
		if p.name == s.name {
			r.problem(section, "", "names this entry itself; want other entries only")
			continue
		}
		check(section, "address", p.address)
	}
}
