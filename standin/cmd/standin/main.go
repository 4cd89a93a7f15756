// Command standin runs the stand-ins for the platform, upstreams and callers,
// and the demo. It is meant for tests and the first run only.
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
		Usage:    "run stand-ins for the systems around the entries",
		Commands: []*cli.Command{platformCommand(), upstreamCommand(), relayCommand(), callCommand(), demoCommand(), siteCommand(), soakCommand(), playCommand()},
	}
	return c.Run(ctx, args)
}
