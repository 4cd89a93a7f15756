package node

import (
	"context"
	"os"
	"time"

	"fescuelanding/fleet/wait"
	"fescuelanding/platform"
)

// _bootInterval is how often the boot file is looked at, as it may change
// without a signal.
const _bootInterval = 2 * time.Second

// Reload reads the boot file again. Bounds are in force at once; a change of
// addresses is in force for new connections.
func (n *Node) Reload() {
	b, err := platform.ReadBoot()
	if err != nil {
		n.log.Warn("Boot file was not reloaded.", "err", err)
		return
	}
	n.store.SetAddress(b.Store.Address)
	if n.clients.Adviser != nil && b.Advice != "" {
		n.clients.Adviser.SetAddress(b.Advice)
	}
	n.bounds.Store(&b.Bounds)
	n.log.Info("Boot file was reloaded.", "store", b.Store.Address, "advice", b.Advice)
}

// watchBoot reloads the boot file when it changes.
func (n *Node) watchBoot(ctx context.Context) {
	seen := modified()
	for ctx.Err() == nil {
		wait.For(ctx, _bootInterval)
		if m := modified(); !m.Equal(seen) {
			seen = m
			n.Reload()
		}
	}
}

// modified returns when the boot file changed last; zero while it can't be
// seen.
func modified() time.Time {
	i, err := os.Stat(platform.BootFile())
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}
