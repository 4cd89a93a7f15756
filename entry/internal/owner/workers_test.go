package owner

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWorkers runs more functions at once than goroutines are kept, while each waits for all others, and
// then some one after the other.
func TestWorkers(t *testing.T) {
	const many = 3 * _maxIdleWorkers
	before := runtime.NumGoroutine()
	var w workers
	var done sync.WaitGroup
	var ran atomic.Int64
	all := make(chan struct{})
	for range many {
		done.Add(1)
		w.run(func() {
			defer done.Done()
			if ran.Add(1) == many {
				close(all)
			}
			<-all
		})
	}
	done.Wait()
	for range many {
		done.Add(1)
		w.run(func() { ran.Add(1); done.Done() })
		done.Wait()
	}
	assert.Equal(t, ran.Load(), int64(2*many))
	awaitGoroutines(t, before+_maxIdleWorkers)
	w.close()
	awaitGoroutines(t, before)
	done.Add(1)
	w.run(func() { done.Done() })
	done.Wait()
	awaitGoroutines(t, before)
}

// awaitGoroutines waits until there are at most n goroutines.
func awaitGoroutines(t *testing.T, n int) {
	t.Helper()
	for range 1000 {
		if runtime.NumGoroutine() <= n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("%d goroutines, want at most %d", runtime.NumGoroutine(), n)
}
