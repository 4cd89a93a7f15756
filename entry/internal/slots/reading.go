package slots

import "time"

// Reading reports whether somebody waits for the keys stream. While nobody
// does, it may be read less often, many records at once.
func (d *Dispatcher) KeysNeeded() bool { return d.reading.Load() }

// News returns a channel that has a value when somebody begins to wait for the
// keys stream.
func (d *Dispatcher) KeysNeededSignal() <-chan struct{} { return d.news }

// noteReading finds out whether keys are waited for: this process's own, or a
// release by the former broker of a pool that was just taken over.
func (d *Dispatcher) noteReading(now time.Time) {
	need := len(d.keyLog.waiting) > 0 || len(d.keyLog.doubts) > 0
	for _, p := range d.pools {
		need = need || now.Before(p.doubtUntil)
	}
	if d.reading.Swap(need) || !need {
		return
	}
	select {
	case d.news <- struct{}{}:
	default:
	}
}
