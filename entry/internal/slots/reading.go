package slots

import "time"

// KeysNeeded reports whether a request waits for the keys stream. If none does,
// the stream may be read less often and in larger batches.
func (d *Dispatcher) KeysNeeded() bool { return d.keysNeeded.Load() }

// KeysNeededSignal returns a channel that gets a value when KeysNeeded becomes
// true.
func (d *Dispatcher) KeysNeededSignal() <-chan struct{} { return d.keysNeededSignal }

// updateKeysNeeded sets keysNeeded if a key or a release is expected in the
// stream: a key of this process, or a release by the former broker of a pool
// that was taken over recently.
func (d *Dispatcher) updateKeysNeeded(now time.Time) {
	need := len(d.keyLog.waiting) > 0 || len(d.keyLog.unconfirmed) > 0
	for _, p := range d.pools {
		need = need || now.Before(p.releaseDeadline)
	}
	if d.keysNeeded.Swap(need) || !need {
		return
	}
	select {
	case d.keysNeededSignal <- struct{}{}:
	default:
	}
}
