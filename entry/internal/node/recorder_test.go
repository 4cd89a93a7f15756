package node

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"fescuelanding/platform"
)

// TestRecorder has three recordings come up while an append is under way: they go
// together in the next one, and each hears its outcome.
func TestRecorder(t *testing.T) {
	begun, answer := make(chan int), make(chan error)
	r := newRecorder("topic", func(_ context.Context, _ string, l []platform.Record) error {
		begun <- len(l)
		return <-answer
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go r.run(ctx)
	heard := make(chan string, 4)
	add := func(name string) {
		r.add(ctx, []platform.Record{{Key: name}}, func(err error) { heard <- fmt.Sprint(name, " ", err) })
	}
	add("a")
	assert.Equal(t, <-begun, 1)
	add("b")
	add("c")
	add("d")
	answer <- nil
	assert.Equal(t, <-heard, "a <nil>")
	assert.Equal(t, <-begun, 3)
	answer <- errors.New("refused")
	for _, n := range []string{"b", "c", "d"} {
		assert.Equal(t, <-heard, n+" refused")
	}
}
