package main

import (
	"context"
	"fmt"
	"net"
	"os"

	"fescuelanding/standin/relay"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"
)

func relayCommand() *cli.Command {
	return &cli.Command{
		Name:  "relay",
		Usage: "forward TCP connections; POST /control/mode cuts and restores them",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Required: true, Usage: "address as IP:port"},
			&cli.StringFlag{Name: "to", Required: true, Usage: "address that connections are forwarded to"},
			&cli.StringFlag{Name: "control", Required: true, Usage: "address of the control API as IP:port"},
		},
		Action: runRelay,
	}
}

func runRelay(ctx context.Context, c *cli.Command) error {
	s, err := net.Listen("tcp", c.String("listen"))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer s.Close()
	r := relay.New(c.String("to"))
	l := log.NewWithOptions(os.Stderr, log.Options{Prefix: "relay"})
	go func() {
		if err := r.Serve(s); err != nil {
			l.Error("The relay stopped accepting connections.", "err", err)
		}
	}()
	l.Info("The relay is forwarding connections.", "address", c.String("listen"), "to", c.String("to"))
	return listen(ctx, c.String("control"), r)
}
