package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"fescuelanding/entry/internal/logging"
	"fescuelanding/entry/internal/node"
	"fescuelanding/platform"
)

// runOnPlatform runs the entry on the users' platform until ctx ends. The
// platform's boot file has its settings; SIGHUP reloads it.
func runOnPlatform(ctx context.Context, c *cli.Command) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	b, err := platform.ReadBoot()
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	g := logging.New(os.Stdout, "entry")
	defer g.Close()
	n := node.New(b, g)
	n.AcceptLate = c.Bool("accept-late")
	go func() {
		for range reload {
			n.Reload()
		}
	}()
	if err := n.Run(ctx); err != nil {
		return fmt.Errorf("run: %w", err)
	}
	return nil
}
