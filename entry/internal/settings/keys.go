package settings

import (
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	_wantAddress  = "an IP address with a port, like 10.0.1.5:8080"
	_wantName     = "a name of letters, digits and dashes, at most 64"
	_wantDuration = "a positive duration with its unit, like 2s"

	// _sameAsListenPeer marks a key whose default is the value of [listen] peer. The
	// reference shows this text as the key's default.
	_sameAsListenPeer = "that of `[listen] peer`"

	_maxNameLength = 64
	_maxRequests   = 100_000
	_maxBodySize   = 64 << 20
	_minMemory     = 1 << 20
	_maxMemory     = 1 << 40
)

// key describes one key of the file.
type key struct {
	section, name string
	// defaultValue is empty if the key is required.
	defaultValue string
	// want describes the valid values.
	want        string
	description string
	set         func(s *Settings, v string) error
}

// _keys lists all keys except those of the [peer "name"] sections.
var _keys = []key{
	{"entry", "name", "", _wantName, "Name of this entry; unique among the entries.", func(s *Settings, v string) error { return setName(&s.name, v) }},
	{"entry", "dataCentre", "", _wantName, "Data centre that the entry stands in, as the configuration names it.", func(s *Settings, v string) error { return setName(&s.dataCentre, v) }},
	{"entry", "shutdownTimeout", "10m", _wantDuration, "Longest wait of a graceful shutdown for requests in flight.", func(s *Settings, v string) error { return setDuration(&s.shutdownTimeout, v) }},
	{"entry", "peerAddress", _sameAsListenPeer, _wantAddress, "Where the other entries reach this one, if not where it listens for them.", func(s *Settings, v string) error { return setAddress(&s.peerAddress, v) }},
	{"listen", "caller", "", _wantAddress, "Where the balancer sends callers.", func(s *Settings, v string) error { return setAddress(&s.caller, v) }},
	{"listen", "peer", "", _wantAddress, "Where the other entries connect.", func(s *Settings, v string) error { return setAddress(&s.peer, v) }},
	{"listen", "admin", "", _wantAddress, "Status, readiness, liveness and metrics.", func(s *Settings, v string) error { return setAddress(&s.admin, v) }},
	{"platform", "url", "", "a base URL, like http://10.0.0.1:7000", "The platform's log and live list.", setPlatform},
	{"platform", "timeout", "2s", _wantDuration, "Longest wait for one answer of the platform.", func(s *Settings, v string) error { return setDuration(&s.platformTimeout, v) }},
	{"limits", "maxBodyBytes", "1048576", "a number of bytes from 1 to 67108864", "Largest request body.", setMaxBody},
	{"limits", "requests", "4096", "a number from 1 to 100000", "Most requests open at once; more are refused, not run.", setRequests},
	{"limits", "memory", "268435456", "a number of bytes from 1048576 to 1099511627776", "Memory that callers' connections may hold; eight of the largest bodies at least. Beyond it those that hold most are given up.", setMemory},
	{"log", "level", "info", "debug, info, warn or error", "Lowest level that is logged.", setLevel},
}

// Reference writes the table of keys in the operators' reference, in Markdown.
func Reference(w io.Writer) error {
	if _, err := fmt.Fprintln(w, "| section | key | default | value | what it is |\n|---|---|---|---|---|"); err != nil {
		return fmt.Errorf("write reference: %w", err)
	}
	for _, k := range _keys {
		v := k.defaultValue
		if v == "" {
			v = "must be given"
		}
		if _, err := fmt.Fprintf(w, "| `[%s]` | `%s` | %s | %s | %s |\n", k.section, k.name, v, k.want, k.description); err != nil {
			return fmt.Errorf("write reference: %w", err)
		}
	}
	_, err := fmt.Fprintf(w, "| `[peer \"name\"]` | `address` | must be given | %s | A peer known before the log has been read; one section each. |\n", _wantAddress)
	if err != nil {
		return fmt.Errorf("write reference: %w", err)
	}
	return nil
}

func findKey(section, name string) (key, bool) {
	i := slices.IndexFunc(_keys, func(k key) bool { return k.section == section && k.name == name })
	if i < 0 {
		return key{}, false
	}
	return _keys[i], true
}

func isKnownSection(section string) bool { return len(keysOf(section)) > 0 }

func keysOf(section string) []string {
	var l []string
	for _, k := range _keys {
		if k.section == section {
			l = append(l, k.name)
		}
	}
	return l
}

// sectionNames returns the names of the sections, in the order of the table.
func sectionNames() string {
	var l []string
	for _, k := range _keys {
		if !slices.Contains(l, k.section) {
			l = append(l, k.section)
		}
	}
	return strings.Join(append(l, `peer "name"`), ", ")
}

// seedName returns the peer's name from a section name such as peer "name", and
// false for other section names.
func seedName(section string) (string, bool) {
	q, ok := strings.CutPrefix(section, "peer ")
	if !ok {
		return "", false
	}
	n, err := strconv.Unquote(strings.TrimSpace(q))
	return n, err == nil && n != ""
}

func parseAddress(v string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		return a, fmt.Errorf("parse address: %w", err)
	}
	return a, nil
}

func setAddress(p *netip.AddrPort, v string) error {
	a, err := parseAddress(v)
	*p = a
	return err
}

func setName(p *string, v string) error {
	allowed := func(r rune) bool {
		return r == '-' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
	}
	if v == "" || len(v) > _maxNameLength || strings.ContainsFunc(v, func(r rune) bool { return !allowed(r) }) {
		return fmt.Errorf("want %s", _wantName)
	}
	*p = v
	return nil
}

func setDuration(p *time.Duration, v string) error {
	d, err := time.ParseDuration(v)
	if err != nil || d <= 0 {
		return fmt.Errorf("want %s", _wantDuration)
	}
	*p = d
	return nil
}

func setPlatform(s *Settings, v string) error {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Errorf("parse platform URL %q", v)
	}
	s.platformURL = strings.TrimSuffix(v, "/")
	return nil
}

func setMaxBody(s *Settings, v string) error {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 1 || n > _maxBodySize {
		return fmt.Errorf("parse body size %q", v)
	}
	s.maxBody = n
	return nil
}

func setRequests(s *Settings, v string) error {
	n, err := strconv.Atoi(v)
	if err != nil || n < 1 || n > _maxRequests {
		return fmt.Errorf("parse number of requests %q", v)
	}
	s.maxRequests = n
	return nil
}

func setMemory(s *Settings, v string) error {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < _minMemory || n > _maxMemory {
		return fmt.Errorf("parse memory %q", v)
	}
	s.memory = n
	return nil
}

func setLevel(s *Settings, v string) error {
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, v) {
		return fmt.Errorf("unknown log level %q", v)
	}
	s.level = v
	return nil
}
