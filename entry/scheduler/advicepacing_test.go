package scheduler

import (
	"bufio"
	"context"
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAdvicePacing plays testdata/advicePacing/calls.txt. Calls for advice that took longer than a fixed limit by
// their queue's configuration were given up and repeated for ever. Each line is one of these, with times in
// milliseconds:
//
//	begin NAME takes MS limit MS   a call begins, with that limit
//	answer NAME after MS           it is answered, and lost NAME after MS: it isn't in time
//	fail NAME after MS             it is refused
//	shortened NAME MS              it was given that limit since the last such line
//	service SLOWNESS takes MS calls N   one call after the other of a service that is so many times slower,
//	                               and handles the ones that were given up too; at least one of N is answered
func TestAdvicePacing(t *testing.T) {
	f, err := os.Open("testdata/advicePacing/calls.txt")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, f.Close()) }()
	var a AdvicePacing
	calls, shortened := make(map[string]*AdviceCall), make(map[string]time.Duration)
	for sc := bufio.NewScanner(f); sc.Scan(); {
		w := strings.Fields(sc.Text())
		if len(w) == 0 || strings.HasPrefix(w[0], "#") {
			continue
		}
		switch w[0] {
		case "begin":
			c, limit := a.Begin(parseMs(t, w[3]))
			c.Shorten = func(d time.Duration) { shortened[w[1]] = d }
			calls[w[1]] = c
			assert.Equal(t, limit, parseMs(t, w[5]), sc.Text())
		case "answer":
			a.End(calls[w[1]], parseMs(t, w[3]), nil)
		case "lost":
			a.End(calls[w[1]], parseMs(t, w[3]), context.DeadlineExceeded)
		case "fail":
			a.End(calls[w[1]], parseMs(t, w[3]), errors.New("refused"))
		case "shortened":
			assert.Equal(t, shortened[w[1]], parseMs(t, w[2]), sc.Text())
		case "service":
			n := int(parseMs(t, w[5]) / time.Millisecond)
			assert.Assert(t, answeredAmong(n, parseMs(t, w[3]), parseMs(t, w[1])/time.Millisecond), sc.Text())
		default:
			t.Fatalf("unknown line %q", sc.Text())
		}
	}
}

// answeredAmong reports whether one of n calls is answered by a service that is slower than configured.
func answeredAmong(n int, takes, slowness time.Duration) bool {
	var a AdvicePacing
	var now, busyUntil time.Duration
	for range n {
		c, limit := a.Begin(takes)
		busyUntil = max(now, busyUntil) + slowness*takes
		if busyUntil <= now+limit {
			return true
		}
		now += limit
		a.End(c, limit, context.DeadlineExceeded)
	}
	return false
}

func parseMs(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text + "ms")
	assert.NilError(t, err)
	return d
}
