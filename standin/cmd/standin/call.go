package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"fescuelanding/standin/caller"

	"github.com/urfave/cli/v3"
)

var errPromise = errors.New("a promise was broken; see the counts")

func callCommand() *cli.Command {
	return &cli.Command{
		Name:  "call",
		Usage: "send requests, check each end, and exit with 1 if a promise was broken",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "base URL of an entry; may be repeated"},
			&cli.StringSliceFlag{Name: "ready", Usage: "readiness URL of each entry, in the same order"},
			&cli.StringFlag{Name: "service", Required: true, Usage: "service to ask"},
			&cli.IntFlag{Name: "requests", Value: 1, Usage: "number of requests"},
			&cli.IntFlag{Name: "workers", Value: 1, Usage: "requests under way at the same time"},
			&cli.FloatFlag{Name: "rate", Usage: "requests a second; 0 is unlimited"},
			&cli.BoolFlag{Name: "keyed", Usage: "give each request an idempotency key"},
			&cli.StringFlag{Name: "key", Usage: "give all requests this idempotency key"},
			&cli.StringSliceFlag{Name: "judge", Usage: "control URL of upstream stand-ins; may be repeated"},
			&cli.StringFlag{Name: "team", Usage: "team the requests count for"},
			&cli.StringFlag{Name: "class", Usage: "class other than the service's"},
			&cli.StringFlag{Name: "deadline", Usage: "time left, like 2s"},
			&cli.StringFlag{Name: "run", Usage: "time to run upstream, like 50ms"},
			&cli.StringFlag{Name: "fault", Usage: "fault of the upstream, like half"},
			&cli.BoolFlag{Name: "mayCut", Usage: "cut requests break no promise, as a process is killed"},
			&cli.BoolFlag{Name: "times", Usage: "print how long answers took"},
		},
		Action: runCall,
	}
}

func runCall(ctx context.Context, c *cli.Command) error {
	r, err := caller.Load{
		Entries: c.StringSlice("entry"), Ready: c.StringSlice("ready"), Service: c.String("service"),
		Requests: c.Int("requests"), Workers: c.Int("workers"), Rate: c.Float("rate"),
		Keyed: c.Bool("keyed"), Key: c.String("key"), Judge: c.StringSlice("judge"),
		Team: c.String("team"), Class: c.String("class"), Deadline: c.String("deadline"),
		RunFor: c.String("run"), Fault: c.String("fault"),
	}.Run(ctx)
	if err != nil {
		return fmt.Errorf("send load: %w", err)
	}
	if err := r.Print(os.Stdout); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	if c.Bool("times") {
		for _, p := range []float64{50, 99, 99.9} {
			fmt.Printf("p%v %v\n", p, r.Percentile(p).Round(time.Microsecond))
		}
	}
	faults := r.Violations()
	if c.Bool("mayCut") {
		faults -= r.Cut
	}
	if faults > 0 {
		return errPromise
	}
	return nil
}
