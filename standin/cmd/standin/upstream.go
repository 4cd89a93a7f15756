package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"fescuelanding/standin/upstream"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"
)

const _defaultRun = 20 * time.Millisecond

func upstreamCommand() *cli.Command {
	return &cli.Command{
		Name:  "upstream",
		Usage: "serve executors that echo and count requests; POST /control/fault injects faults",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "control", Value: "127.0.0.1:7300", Usage: "address of the control API as IP:port"},
			&cli.StringSliceFlag{Name: "executor", Required: true, Usage: "NAME=IP:port; may be repeated"},
			&cli.DurationFlag{Name: "run", Value: _defaultRun, Usage: "running time of a request that does not set its own"},
		},
		Action: runUpstream,
	}
}

func runUpstream(ctx context.Context, c *cli.Command) error {
	var all []*upstream.Executor
	var listeners []net.Listener
	for _, v := range c.StringSlice("executor") {
		name, address, ok := strings.Cut(v, "=")
		if !ok {
			return fmt.Errorf("executor %q is not NAME=IP:port", v)
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen for %s: %w", name, err)
		}
		all = append(all, upstream.NewExecutor(name, c.Duration("run")))
		listeners = append(listeners, l)
	}
	s := upstream.NewServer(all...)
	for i, e := range all {
		go func() { log.Error("An executor stopped serving.", "error", e.Serve(listeners[i])) }()
	}
	l := log.NewWithOptions(os.Stderr, log.Options{Prefix: "upstream"})
	l.Info("The upstream stand-ins are serving.", "executors", len(all), "control", c.String("control"))
	return listen(ctx, c.String("control"), s)
}
