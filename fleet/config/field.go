package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"time"
)

const (
	_maxName  = 63
	_maxCount = 1_000_000
)

var _nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// field describes one key of a section, whose value is stored in a T.
type field[T any] struct {
	key      string
	required bool
	set      func(*T, string) error
	// get returns the value as text, or "" to omit the key.
	get func(*T) string
}

// require returns a copy of f that every section of its kind must set.
func (f field[T]) require() field[T] {
	f.required = true
	return f
}

// nameField returns a field that holds the name of an object or a label. In this
// and the other constructors, ref returns the address of the value within a T.
func nameField[T any](key string, ref func(*T) *string) field[T] {
	return field[T]{
		key: key,
		set: func(t *T, v string) error {
			if err := checkName(v); err != nil {
				return err
			}
			*ref(t) = v
			return nil
		},
		get: func(t *T) string { return *ref(t) },
	}
}

// countField returns a field that holds an integer from low to _maxCount.
func countField[T any](key string, low int, ref func(*T) *int) field[T] {
	return field[T]{
		key: key,
		set: func(t *T, v string) error {
			n, err := strconv.Atoi(v)
			if err != nil || n < low || n > _maxCount {
				return fmt.Errorf("%w from %d to %d", errWantCount, low, _maxCount)
			}
			*ref(t) = n
			return nil
		},
		get: func(t *T) string { return strconv.Itoa(*ref(t)) },
	}
}

// durationField returns a field that holds a Go duration of at least 1 ms. An
// unset duration is 0 and isn't printed.
func durationField[T any](key string, ref func(*T) *time.Duration) field[T] {
	return field[T]{
		key: key,
		set: func(t *T, v string) error {
			d, err := time.ParseDuration(v)
			if err != nil || d < time.Millisecond {
				return errWantDuration
			}
			*ref(t) = d
			return nil
		},
		get: func(t *T) string {
			if *ref(t) == 0 {
				return ""
			}
			return ref(t).String()
		},
	}
}

// flagField returns a field that holds true or false.
func flagField[T any](key string, ref func(*T) *bool) field[T] {
	return field[T]{
		key: key,
		set: func(t *T, v string) error {
			switch v {
			case "true":
				*ref(t) = true
			case "false":
				*ref(t) = false
			default:
				return errWantFlag
			}
			return nil
		},
		get: func(t *T) string { return strconv.FormatBool(*ref(t)) },
	}
}

// addressField returns a field that holds an IP address and a port.
func addressField[T any](key string, ref func(*T) *netip.AddrPort) field[T] {
	return field[T]{
		key: key,
		set: func(t *T, v string) error {
			a, err := netip.ParseAddrPort(v)
			if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
				return errWantAddress
			}
			*ref(t) = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
			return nil
		},
		get: func(t *T) string { return ref(t).String() },
	}
}

// domainField returns a field that holds a failure domain.
func domainField[T any](key string, ref func(*T) *Domain) field[T] {
	return field[T]{
		key: key,
		set: func(t *T, v string) error {
			d, ok := _domains[v]
			if !ok {
				return errWantDomain
			}
			*ref(t) = d
			return nil
		},
		get: func(t *T) string { return ref(t).String() },
	}
}

// checkName returns an error that describes a valid name if v isn't one.
func checkName(v string) error {
	if len(v) > _maxName || !_nameForm.MatchString(v) {
		return fmt.Errorf("%w, at most %d", errWantName, _maxName)
	}
	return nil
}
