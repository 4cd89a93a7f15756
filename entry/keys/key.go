package keys

import (
	"encoding/binary"
	"fmt"
	"iter"
	"slices"
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

// All returns the keys that stand one after the other in the list of a batch or
// a release. Bytes after the last whole key are left out.
func All(b []byte) iter.Seq[Key] {
	return func(yield func(Key) bool) {
		for c := range slices.Chunk(b, Size) {
			if len(c) < Size || !yield(Key(c)) {
				return
			}
		}
	}
}

// split returns the keys of a list, or an error where it is broken.
func split(b []byte) ([]Key, error) {
	if len(b)%Size != 0 {
		return nil, &BadKeysError{size: len(b)}
	}
	return slices.AppendSeq(make([]Key, 0, len(b)/Size), All(b)), nil
}
