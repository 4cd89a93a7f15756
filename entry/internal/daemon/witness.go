package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/internal/hold"
	"fescuelanding/entry/internal/view"
)

// _witnessTimeout bounds the time to send the holds of a pool to a new witness.
const _witnessTimeout = 5 * time.Second

// errNewerBroker means that holds were already reported to a newer broker of the
// pool.
var errNewerBroker = errors.New("pool has a newer broker")

// fetchHolds returns the holds of an entry in a pool, that is, the granted slots
// that it may be using. The pool's new broker needs them to know which slots are
// taken.
//
// This entry's own holds are returned only once the pool's witness has them: if
// this process ended right afterwards, no other entry could report them to the
// next broker.
func (d *Daemon) fetchHolds(ctx context.Context, entry, pool string, term uint64) ([]broker.Hold, error) {
	if entry != d.self.Name {
		return d.remote.FetchHolds(ctx, entry, pool, term)
	}
	l, ok := d.table.Report(time.Now(), pool, hold.Broker{Entry: entry, Term: term})
	if !ok {
		return nil, errNewerBroker
	}
	if err := d.sendHoldsToWitness(ctx, pool, term); err != nil {
		return nil, err
	}
	return l, nil
}

// sendHoldsToWitness sends this entry's holds in a pool to the pool's witness,
// the entry that would be the broker next.
func (d *Daemon) sendHoldsToWitness(ctx context.Context, pool string, term uint64) error {
	o, ok := d.table.View().Broker(pool)
	if !ok || o.Witness() == "" {
		return nil
	}
	for _, h := range d.table.OwnHolds(pool) {
		if err := d.remote.AddWitnessedInTerm(ctx, o.Witness(), pool, term, h); err != nil {
			return fmt.Errorf("send hold to witness: %w", err)
		}
	}
	return nil
}

// updateWitnesses sends this entry's holds to the new witness of each pool that
// it still owns under the same term and whose witness has changed. Under a new
// term, fetchHolds sends them.
func (d *Daemon) updateWitnesses(old, v *view.View) {
	for _, p := range v.Config().Pools() {
		o, ok := v.Broker(p.Name())
		was, known := old.Broker(p.Name())
		if !ok || !known || o.Entry() != d.self.Name || o.Term() != was.Term() || o.Witness() == was.Witness() {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), _witnessTimeout)
			defer cancel()
			for d.sendHoldsToWitness(ctx, p.Name(), o.Term()) != nil && ctx.Err() == nil {
				time.Sleep(_controlTick)
			}
		}()
	}
}
