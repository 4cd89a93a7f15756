package node

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"fescuelanding/platform"
)

// TestRecorder adds three requests while an append is in progress. They must be
// combined into the next append, and each must receive its outcome.
func TestRecorder(t *testing.T) {
	started, answer := make(chan int), make(chan error)
	r := newRecorder("topic", func(_ context.Context, _ string, l []platform.Record) error {
		started <- len(l)
		return <-answer
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.run(ctx)
	outcomes := make(chan string, 4)
	add := func(name string) {
		r.add(ctx, []platform.Record{{Key: name}}, func(err error) { outcomes <- fmt.Sprint(name, " ", err) })
	}
	add("a")
	assert.Equal(t, <-started, 1)
	add("b")
	add("c")
	add("d")
	answer <- nil
	assert.Equal(t, <-outcomes, "a <nil>")
	assert.Equal(t, <-started, 3)
	answer <- errors.New("refused")
	for _, n := range []string{"b", "c", "d"} {
		assert.Equal(t, <-outcomes, n+" refused")
	}
}
