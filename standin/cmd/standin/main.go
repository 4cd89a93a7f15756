// Command standin runs the stand-ins of platform, upstreams and callers, and
// the demo. It serves tests and the first run only.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"
)

func main() {
	if err := run(os.Args); err != nil {
		log.Fatal(err)
	}
}

func run(args []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	c := &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins of what surrounds the entries",
		Commands: []*cli.Command{platformCommand(), upstreamCommand(), relayCommand(), callCommand(), demoCommand(), siteCommand(), playCommand()},
	}
	return c.Run(ctx, args)
}
