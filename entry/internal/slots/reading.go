package slots

import "time"

// KeysNeeded reports whether somebody waits for the keys stream. While nobody
// does, it may be read less often, many records at once.
func (d *Dispatcher) KeysNeeded() bool { return d.keysNeeded.Load() }

// KeysNeededSignal returns a channel that has a value when somebody begins to wait for the
// keys stream.
func (d *Dispatcher) KeysNeededSignal() <-chan struct{} { return d.keysNeededSignal }

// updateKeysNeeded finds out whether keys are waited for: this process's own, or a
// release by the former broker of a pool that was just taken over.
func (d *Dispatcher) updateKeysNeeded(now time.Time) {
	need := len(d.keyLog.waiting) > 0 || len(d.keyLog.unconfirmed) > 0
	for _, p := range d.pools {
		need = need || now.Before(p.releasesUntil)
	}
	if d.keysNeeded.Swap(need) || !need {
		return
	}
	select {
	case d.keysNeededSignal <- struct{}{}:
	default:
	}
}
