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

// _witnessTimeout bounds the time until a new witness knows the holds.
const _witnessTimeout = 5 * time.Second

// errTermOver means that the pool has a newer broker.
var errTermOver = errors.New("term is over")

// fetchHolds asks an entry, perhaps this one, what it holds in a pool. This
// entry reports to its own broker only once its witness knows the same: should
// it end right after, nobody else could tell the next broker.
func (d *Daemon) fetchHolds(ctx context.Context, entry, pool string, term uint64) ([]broker.Hold, error) {
	if entry != d.self.Name {
		return d.remote.FetchHolds(ctx, entry, pool, term)
	}
	l, ok := d.table.Report(time.Now(), pool, hold.Broker{Entry: entry, Term: term})
	if !ok {
		return nil, errTermOver
	}
	if err := d.witnessOwn(ctx, pool, term); err != nil {
		return nil, err
	}
	return l, nil
}

// witnessOwn has the pool's witness remember this entry's holds there.
func (d *Daemon) witnessOwn(ctx context.Context, pool string, term uint64) error {
	o, ok := d.table.View().Broker(pool)
	if !ok || o.Witness() == "" {
		return nil
	}
	for _, h := range d.table.OwnHolds(pool) {
		if err := d.remote.AddWitnessedInTerm(ctx, o.Witness(), pool, term, h); err != nil {
			return fmt.Errorf("tell witness: %w", err)
		}
	}
	return nil
}

// newWitnesses tells the holds of pools that this entry goes on owning, and
// whose witness has changed.
func (d *Daemon) newWitnesses(old, v *view.View) {
	for _, p := range v.Config().Pools() {
		o, ok := v.Broker(p.Name())
		was, known := old.Broker(p.Name())
		if !ok || !known || o.Entry() != d.self.Name || o.Term() != was.Term() || o.Witness() == was.Witness() {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), _witnessTimeout)
			defer cancel()
			for d.witnessOwn(ctx, p.Name(), o.Term()) != nil && ctx.Err() == nil {
				time.Sleep(_controlTick)
			}
		}()
	}
}
