package peer

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestCallsAreBounded(t *testing.T) {
	var c calls
	for range _maxCalls {
		_, _, err := c.add()
		assert.NilError(t, err)
	}
	_, _, err := c.add()
	assert.ErrorIs(t, err, ErrQueueFull)
	c.resolve(1, new(Ack))
	id, reply, err := c.add()
	assert.NilError(t, err)
	c.resolve(id, new(Ack))
	c.resolve(id, new(Ack))
	<-reply
}
