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

// onPlatform runs the entry of the users' platform.
func onPlatform(ctx context.Context, _ *cli.Command) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	b, err := platform.ReadBoot()
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	g := logging.New(os.Stdout, "entry")
	defer g.Close()
	n := node.New(b, g)
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
