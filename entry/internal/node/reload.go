package node

import (
	"context"
	"os"
	"time"

	"fescuelanding/fleet/wait"
	"fescuelanding/platform"
)

// _bootInterval is the time between checks of the boot file, which may change without
// a signal.
const _bootInterval = 2 * time.Second

// Reload reads the boot file again. New bounds apply at once, and new addresses apply
// to new connections. If the file can't be read, Reload logs that and changes nothing.
func (n *Node) Reload() {
	b, err := platform.ReadBoot()
	if err != nil {
		n.log.Warn("Boot file can't be read; keeping the previous settings.", "err", err)
		return
	}
	n.store.SetAddress(b.Store.Address)
	if b.Advice != "" {
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

// modified returns the modification time of the boot file, and the zero time if it
// can't be accessed.
func modified() time.Time {
	i, err := os.Stat(platform.BootFile())
	if err != nil {
		return time.Time{}
	}
	return i.ModTime()
}
