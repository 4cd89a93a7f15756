package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"fescuelanding/standin/platform"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve the log, the live list and leases; POST /control/... sets faults, hosts, lag and limits",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7100", Usage: "address as IP:port"},
			&cli.StringFlag{Name: "journal", Usage: "file that keeps the log across restarts"},
			&cli.StringSliceFlag{Name: "host", Usage: "name of a host that is live; may be repeated"},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	var s platform.Server
	if p := c.String("journal"); p != "" {
		if err := s.Open(p); err != nil {
			return fmt.Errorf("open log: %w", err)
		}
	}
	for _, n := range c.StringSlice("host") {
		s.SetHost(platform.Host{Name: n, State: "live"}, time.Now())
	}
	l := log.NewWithOptions(os.Stderr, log.Options{Prefix: "platform"})
	l.Info("The platform stand-in is serving.", "address", c.String("listen"))
	return listen(ctx, c.String("listen"), &s)
}
