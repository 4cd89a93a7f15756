package duty_test

import (
	"bytes"
	"os"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fescuelanding/entry/internal/duty"
)

const _panicEnv = "DUTY_TEST_PANIC"

type event interface{ event() }

type number int

func (number) event() {}

type tick struct{}

func (tick) event() {}

// spawnBlocked spawns a duty whose handler blocks on its first message until release
// is closed. seen has the messages handled; it may be read after Stop.
func spawnBlocked(t testing.TB, size int, p duty.Policy) (d *duty.Duty[event], seen *[]event, release chan struct{}) {
	t.Helper()
	seen, release = new([]event), make(chan struct{})
	entered := make(chan struct{}, 1)
	d, err := duty.Spawn(duty.System(nil), "test", size, p, func(_ time.Time, m event) {
		if len(*seen) == 0 {
			entered <- struct{}{}
		}
		<-release
		*seen = append(*seen, m)
	})
	assert.NilError(t, err)
	assert.NilError(t, d.Post(number(-1)))
	<-entered
	return d, seen, release
}

// TestUrgentFirst posts messages while the handler is busy. Those of at least 10 are urgent.
func TestUrgentFirst(t *testing.T) {
	for _, c := range []struct {
		patience time.Duration
		want     []event
	}{
		{time.Hour, []event{number(0), number(10), number(11), number(12), number(1), number(2), number(3)}},
		{0, []event{number(0), number(10), number(1), number(11), number(2), number(12), number(3)}},
	} {
		t.Run(c.patience.String(), func(t *testing.T) { checkUrgentFirst(t, c.patience, c.want) })
	}
}

func checkUrgentFirst(t *testing.T, patience time.Duration, want []event) {
	t.Helper()
	var seen []event
	entered, release := make(chan struct{}), make(chan struct{})
	urgent := func(m event) bool { return m.(number) >= 10 }
	d, err := duty.Spawn(duty.System(nil), "test", 3, duty.Refuse, func(_ time.Time, m event) {
		if len(seen) == 0 {
			close(entered)
			<-release
		}
		seen = append(seen, m)
	}, duty.WithUrgent(patience, urgent))
	assert.NilError(t, err)
	assert.NilError(t, d.Post(number(0)))
	<-entered
	for _, n := range []number{1, 10, 2, 11, 3, 12} {
		assert.NilError(t, d.Post(n))
	}
	assert.ErrorIs(t, d.Post(number(13)), duty.ErrFull)
	assert.Equal(t, d.Waiting(), 6)
	close(release)
	d.Stop()
	assert.DeepEqual(t, seen, want)
	assert.ErrorIs(t, d.Post(number(14)), duty.ErrStopped)
}

// TestUrgentWaitsForEmptyRing posts two urgent messages while the handler is busy with a third, and no others. The last one
// waited until something else was posted.
func TestUrgentWaitsForEmptyRing(t *testing.T) {
	entered, release, seen := make(chan struct{}), make(chan struct{}), make(chan event, 3)
	d, err := duty.Spawn(duty.System(nil), "test", 3, duty.Refuse, func(_ time.Time, m event) {
		if m == event(number(0)) {
			close(entered)
			<-release
		}
		seen <- m
	}, duty.WithUrgent(0, func(event) bool { return true }))
	assert.NilError(t, err)
	defer d.Stop()
	assert.NilError(t, d.Post(number(0)))
	<-entered
	assert.NilError(t, d.Post(number(1)))
	assert.NilError(t, d.Post(number(2)))
	close(release)
	for n := range 3 {
		select {
		case m := <-seen:
			assert.Equal(t, m, event(number(n)))
		case <-time.After(5 * time.Second):
			t.Fatalf("message %d isn't delivered", n)
		}
	}
}

// TestUrgentStarvesOthers checks that other messages are delivered soon although an urgent one always waits.
func TestUrgentStarvesOthers(t *testing.T) {
	const others, each, patience = 100, 10 * time.Millisecond, 500 * time.Millisecond
	const most = int(patience/each) + 2*others + 1
	var d *duty.Duty[event]
	handled, left, leftAtMost := 0, others, 0
	done, ready := make(chan struct{}), make(chan struct{})
	urgent := func(m event) bool { return m.(number) >= others }
	var passed atomic.Int64
	clock := func() time.Time { return time.Unix(0, passed.Load()) }
	d, err := duty.Spawn(duty.System(nil), "test", others, duty.Refuse, func(_ time.Time, m event) {
		<-ready
		passed.Add(int64(each))
		if handled++; handled == most {
			leftAtMost = left
			close(done)
		}
		if urgent(m) && handled < most {
			assert.Check(t, d.Post(m))
		} else if !urgent(m) {
			left--
		}
	}, duty.WithUrgent(patience, urgent), duty.WithClock[event](clock))
	assert.NilError(t, err)
	assert.NilError(t, d.Post(number(others)))
	assert.NilError(t, d.Post(number(others)))
	for n := range others {
		assert.NilError(t, d.Post(number(n)))
	}
	close(ready)
	<-done
	assert.Equal(t, leftAtMost, 0, "messages were left after %d", most)
	d.Stop()
}

func TestFullRingRefuses(t *testing.T) {
	d, seen, release := spawnBlocked(t, 2, duty.Refuse)
	assert.NilError(t, d.Post(number(1)))
	assert.NilError(t, d.Post(number(2)))
	assert.ErrorIs(t, d.Post(number(3)), duty.ErrFull)
	assert.Equal(t, d.Lost(), uint64(1))
	assert.Equal(t, d.Waiting(), 2)
	close(release)
	d.Stop()
	assert.DeepEqual(t, *seen, []event{number(-1), number(1), number(2)})
	assert.ErrorIs(t, d.Post(number(4)), duty.ErrStopped)
}

func TestFullRingDropsOldest(t *testing.T) {
	d, seen, release := spawnBlocked(t, 2, duty.DropOldest)
	for i := range 5 {
		assert.NilError(t, d.Post(number(i)))
	}
	assert.Equal(t, d.Lost(), uint64(3))
	close(release)
	d.Stop()
	assert.DeepEqual(t, *seen, []event{number(-1), number(3), number(4)})
}

func TestSpawnRefuses(t *testing.T) {
	s := duty.System(nil)
	handle := func(time.Time, event) {}
	_, err := duty.Spawn(s, "a", 0, duty.Refuse, handle)
	assert.ErrorIs(t, err, duty.ErrSize)
	d, err := duty.Spawn(s, "a", 1, duty.Refuse, handle)
	assert.NilError(t, err)
	_, err = duty.Spawn(s, "a", 1, duty.Refuse, handle)
	assert.ErrorContains(t, err, "spawn duty a")
	d.Stop()
	again, err := duty.Spawn(s, "a", 1, duty.Refuse, handle)
	assert.NilError(t, err)
	again.Stop()
}

func TestTickRunsWhileRingIsBusy(t *testing.T) {
	const interval = time.Millisecond
	clock := time.Unix(5, 0)
	ticked := make(chan time.Time, 1)
	var d *duty.Duty[event]
	again := make(chan struct{})
	d, err := duty.Spawn(duty.System(nil), "test", 1, duty.Refuse, func(now time.Time, m event) {
		if _, ok := m.(tick); ok {
			select {
			case ticked <- now:
			default:
			}
			return
		}
		<-again
		_ = d.Post(m)
	}, duty.WithTick[event](interval, tick{}), duty.WithClock[event](func() time.Time { return clock }))
	assert.NilError(t, err)
	assert.NilError(t, d.Post(number(0)))
	close(again)
	assert.Equal(t, <-ticked, clock)
	d.Stop()
}

func TestOrderIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var got []event
		d, err := duty.Spawn(duty.System(nil), "test", rapid.IntRange(1, 8).Draw(t, "size"), duty.Refuse,
			func(_ time.Time, m event) { got = append(got, m) })
		assert.NilError(t, err)
		var want []event
		for i := range rapid.IntRange(0, 50).Draw(t, "posts") {
			if d.Post(number(i)) == nil {
				want = append(want, number(i))
			}
		}
		d.Stop()
		assert.DeepEqual(t, got, want)
	})
}

// TestFullRingCostsNoProcessorTime guards against senders that spin while the
// ring is full. Such a sender would use the processor for the whole interval.
func TestFullRingCostsNoProcessorTime(t *testing.T) {
	const interval = 200 * time.Millisecond
	d, _, release := spawnBlocked(t, 1, duty.Refuse)
	assert.NilError(t, d.Post(number(1)))
	var refused atomic.Int64
	for range 8 {
		go func() {
			if d.Post(number(2)) != nil {
				refused.Add(1)
			}
		}()
	}
	before := processorTime(t)
	time.Sleep(interval)
	used := processorTime(t) - before
	assert.Equal(t, refused.Load(), int64(8))
	assert.Assert(t, used < interval/5, "used %v in %v", used, interval)
	close(release)
	d.Stop()
}

func processorTime(t testing.TB) time.Duration {
	var u syscall.Rusage
	assert.NilError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestPanicEndsTheProcess checks that a handler's panic isn't recovered. With the
// library's own mailbox, the actor would be restarted and the process would go
// on.
func TestPanicEndsTheProcess(t *testing.T) {
	if os.Getenv(_panicEnv) != "" {
		d, err := duty.Spawn(duty.System(log.New(os.Stderr)), "fragile", 1, duty.Refuse,
			func(time.Time, event) { panic("handler failed") })
		assert.NilError(t, err)
		assert.NilError(t, d.Post(number(1)))
		d.Stop()
		return
	}
	var out bytes.Buffer
	c := exec.Command(os.Args[0], "-test.run=^TestPanicEndsTheProcess$")
	c.Env, c.Stderr = append(os.Environ(), _panicEnv+"=1"), &out
	err := c.Run()
	assert.ErrorContains(t, err, "exit status 2")
	assert.Assert(t, strings.Contains(out.String(), `Duty panicked; the process ends. duty=fragile panic="handler failed"`), out.String())
	assert.Assert(t, strings.Contains(out.String(), "goroutine "), out.String())
}

func BenchmarkPost(b *testing.B) {
	done := make(chan struct{}, 1)
	d, err := duty.Spawn(duty.System(nil), "bench", 1024, duty.Refuse, func(_ time.Time, _ event) { done <- struct{}{} })
	assert.NilError(b, err)
	for b.Loop() {
		_ = d.Post(number(1))
		<-done
	}
	d.Stop()
}
