package keys

import (
	"encoding/binary"
	"fmt"
)

// Size is the length of a key in bytes.
const Size = 16

// Key identifies one non-idempotent request. It is a cryptographic hash, cut
// to Size bytes, of the team, the service and the caller's idempotency key, so
// that nobody can aim at another caller's key. The zero key means none.
type Key [Size]byte

// IsZero reports whether the key is absent.
func (k Key) IsZero() bool {
	return k == Key{}
}

// fingerprint is the part of a key that the journal keeps. Two keys with the
// same one make a first request look like a repeat, which is safe; the odds
// are the number of remembered keys over 2^64.
func (k Key) fingerprint() uint64 {
	return binary.LittleEndian.Uint64(k[:])
}

// BadKeysError says that a batch holds a broken list of keys.
type BadKeysError struct {
	size int
}

// Error implements error.
func (e *BadKeysError) Error() string {
	return fmt.Sprintf("keys of %d bytes are not a multiple of %d", e.size, Size)
}

// split cuts the keys of a batch apart.
func split(b []byte) ([]Key, error) {
	if len(b)%Size != 0 {
		return nil, &BadKeysError{size: len(b)}
	}
	ks := make([]Key, 0, len(b)/Size)
	for ; len(b) > 0; b = b[Size:] {
		ks = append(ks, Key(b[:Size]))
	}
	return ks, nil
}
