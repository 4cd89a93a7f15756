package record

import "crypto/rand"

// _idSize is the length of a record's id in bytes.
const _idSize = 16

// NewID returns the random id of a new record.
func NewID() []byte {
	id := make([]byte, _idSize)
	_, _ = rand.Read(id) // rand.Read never fails.
	return id
}
