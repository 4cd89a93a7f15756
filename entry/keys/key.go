package keys

import (
	"encoding/binary"
	"fmt"
	"iter"
	"slices"
)

// Size is the length of a key in bytes.
const Size = 16

// Key identifies one non-idempotent request. It is a cryptographic hash,
// truncated to Size bytes, of the team, the service and the caller's
// idempotency key, so that nobody can forge the key of another caller. The
// zero key means none.
type Key [Size]byte

// IsZero reports whether the key is absent.
func (k Key) IsZero() bool {
	return k == Key{}
}

// fingerprint returns the part of a key that the journal stores. If two keys
// have the same fingerprint, the first request with the second key is taken
// for a repeat, which is safe. The probability is the number of stored keys
// divided by 2^64.
func (k Key) fingerprint() uint64 {
	return binary.LittleEndian.Uint64(k[:])
}

// BadKeysError reports a key list whose length is not a multiple of Size.
type BadKeysError struct {
	size int
}

// Error implements error.
func (e *BadKeysError) Error() string {
	return fmt.Sprintf("key list of %d bytes is not a multiple of %d bytes", e.size, Size)
}

// All returns the keys in the key list of a batch or a release. An incomplete
// key at the end is left out.
func All(b []byte) iter.Seq[Key] {
	return func(yield func(Key) bool) {
		for c := range slices.Chunk(b, Size) {
			if len(c) < Size || !yield(Key(c)) {
				return
			}
		}
	}
}

// split returns the keys of a list, or a *BadKeysError if its length is
// invalid.
func split(b []byte) ([]Key, error) {
	if len(b)%Size != 0 {
		return nil, &BadKeysError{size: len(b)}
	}
	return slices.AppendSeq(make([]Key, 0, len(b)/Size), All(b)), nil
}
