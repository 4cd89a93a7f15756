package record_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"fescuelanding/fleet/record"
)

func TestIDsDiffer(t *testing.T) {
	a, b := record.NewID(), record.NewID()
	assert.Equal(t, len(a), 16)
	assert.Assert(t, string(a) != string(b))
}
