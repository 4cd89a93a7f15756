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

// _minBodies is how many of the largest bodies callers' connections may hold at least.
const _minBodies = 8

// Settings holds the settings of one entry. Read and Parse fill in the defaults.
type Settings struct {
	name       string
	dataCentre string
	caller     netip.AddrPort
	peer       netip.AddrPort
	admin      netip.AddrPort
	// peerAddress is the zero value if the file doesn't set it.
	peerAddress     netip.AddrPort
	platformURL     string
	platformTimeout time.Duration
	shutdownTimeout time.Duration
	maxBody         int64
	maxRequests     int
	memory          int64
	level           string
	seeds           []Seed
}

// Seed is a peer that the file names, so that it is known before the platform's
// log has been read.
type Seed struct {
	name    string
	address netip.AddrPort
}

// Name returns the peer's name.
func (s Seed) Name() string { return s.name }

// Address returns the address on which the peer listens for other entries.
func (s Seed) Address() netip.AddrPort { return s.address }

// Name returns the entry's name.
func (s Settings) Name() string { return s.name }

// DataCentre returns the name of the data centre in which the entry runs.
func (s Settings) DataCentre() string { return s.dataCentre }

// Caller returns the listen address for callers, whose connections come through
// the load balancer.
func (s Settings) Caller() netip.AddrPort { return s.caller }

// Peer returns the listen address for other entries.
func (s Settings) Peer() netip.AddrPort { return s.peer }

// PeerAddress returns the address that the other entries dial. It is that of
// Peer unless the file sets another.
func (s Settings) PeerAddress() netip.AddrPort {
	if s.peerAddress.IsValid() {
		return s.peerAddress
	}
	return s.peer
}

// Admin returns the listen address for status, readiness, liveness and metrics.
func (s Settings) Admin() netip.AddrPort { return s.admin }

// Platform returns the base URL of the platform.
func (s Settings) Platform() string { return s.platformURL }

// PlatformTimeout returns the timeout of one call to the platform.
func (s Settings) PlatformTimeout() time.Duration { return s.platformTimeout }

// ShutdownTimeout returns how long a graceful shutdown waits for open requests.
func (s Settings) ShutdownTimeout() time.Duration { return s.shutdownTimeout }

// MaxBody returns the size limit of a request body, in bytes.
func (s Settings) MaxBody() int64 { return s.maxBody }

// MaxRequests returns how many requests may be open at once. Further requests
// are refused.
func (s Settings) MaxRequests() int { return s.maxRequests }

// Memory returns how much memory callers' connections may hold, in bytes. It has
// room for a few of the largest bodies, whatever the file says.
func (s Settings) Memory() int64 { return max(s.memory, _minBodies*s.maxBody) }

// Level returns the lowest level that is logged: debug, info, warn or error.
func (s Settings) Level() string { return s.level }

// Seeds returns the peers that the file names.
func (s Settings) Seeds() []Seed { return s.seeds }

// Problem is one error in a settings file. Key is empty if the whole section is
// wrong. Section is empty for a key above the first section.
type Problem struct {
	File, Section, Key string
	// Message says what is wrong and which values are valid.
	Message string
}

// Error implements error.
func (p Problem) Error() string {
	if p.Key == "" {
		return fmt.Sprintf("%s: [%s]: %s", p.File, p.Section, p.Message)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", p.File, p.Section, p.Key, p.Message)
}

// Read reads and checks a file. It fails if the file can't be read or isn't valid
// INI. Otherwise, its error joins one Problem for each error in the file.
func Read(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, b)
}

// Parse reads and checks the text of a file, as Read does. The path is used only
// in errors.
func Parse(path string, text []byte) (Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{}, text)
	if err != nil {
		return Settings{}, fmt.Errorf("parse %s: %w", path, err)
	}
	r := reader{file: path}
	r.setDefaults()
	for _, s := range f.Sections() {
		r.readSection(s)
	}
	r.checkRequired(f)
	r.checkConflicts()
	if len(r.problems) > 0 {
		return Settings{}, errors.Join(r.problems...)
	}
	return r.settings, nil
}

// reader collects the settings and the problems of one file.
type reader struct {
	file     string
	settings Settings
	problems []error
}

func (r *reader) addProblem(section, key, message string) {
	r.problems = append(r.problems, Problem{File: r.file, Section: section, Key: key, Message: message})
}

func (r *reader) setDefaults() {
	for _, k := range _keys {
		if k.defaultValue == "" || k.defaultValue == _sameAsListenPeer {
			continue
		}
		if err := k.set(&r.settings, k.defaultValue); err != nil {
			r.addProblem(k.section, k.name, err.Error())
		}
	}
}

func (r *reader) readSection(s *ini.Section) {
	if s.Name() == ini.DefaultSection {
		for _, k := range s.Keys() {
			r.addProblem("", k.Name(), "must be in a section; sections are "+sectionNames())
		}
		return
	}
	if n, ok := seedName(s.Name()); ok {
		r.readSeed(n, s)
		return
	}
	if !isKnownSection(s.Name()) {
		r.addProblem(s.Name(), "", "unknown section; sections are "+sectionNames())
		return
	}
	for _, k := range s.Keys() {
		r.readKey(s.Name(), k)
	}
}

func (r *reader) readKey(section string, k *ini.Key) {
	d, ok := findKey(section, k.Name())
	if !ok {
		r.addProblem(section, k.Name(), "unknown key; keys are "+strings.Join(keysOf(section), ", "))
		return
	}
	if err := d.set(&r.settings, strings.TrimSpace(k.Value())); err != nil {
		r.addProblem(section, k.Name(), fmt.Sprintf("%q is invalid; want %s", k.Value(), d.want))
	}
}

// readSeed reads a section such as [peer "name"].
func (r *reader) readSeed(name string, s *ini.Section) {
	p := Seed{name: name}
	for _, k := range s.Keys() {
		if k.Name() != "address" {
			r.addProblem(s.Name(), k.Name(), "unknown key; the only key is address")
			continue
		}
		a, err := parseAddress(k.Value())
		if err != nil {
			r.addProblem(s.Name(), k.Name(), fmt.Sprintf("%q is invalid; want %s", k.Value(), _wantAddress))
		}
		p.address = a
	}
	if !s.HasKey("address") {
		r.addProblem(s.Name(), "address", "is missing; want "+_wantAddress)
	}
	r.settings.seeds = append(r.settings.seeds, p)
}

func (r *reader) checkRequired(f *ini.File) {
	for _, k := range _keys {
		if k.defaultValue == "" && !f.Section(k.section).HasKey(k.name) {
			r.addProblem(k.section, k.name, "is missing; want "+k.want)
		}
	}
}

// checkConflicts reports addresses that are used twice, and peers that have the
// entry's own name.
func (r *reader) checkConflicts() {
	s := r.settings
	seen := map[netip.AddrPort]string{}
	check := func(section, key string, a netip.AddrPort) {
		if !a.IsValid() {
			return
		}
		if other, ok := seen[a]; ok {
			r.addProblem(section, key, fmt.Sprintf("%s is already used by %s; want an address that no other key uses", a, other))
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
			r.addProblem(section, "", "has the name of this entry; want the name of another entry")
			continue
		}
		check(section, "address", p.address)
	}
}
