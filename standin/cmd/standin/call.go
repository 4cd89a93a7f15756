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

var errCallViolation = errors.New("at least one guarantee was violated; see the counts")

func callCommand() *cli.Command {
	return &cli.Command{
		Name:  "call",
		Usage: "send requests, check each outcome, and exit with 1 if a guarantee was violated",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "base URL of an entry; may be repeated"},
			&cli.StringSliceFlag{Name: "ready", Usage: "readiness URL of each entry, in the same order"},
			&cli.StringFlag{Name: "service", Required: true, Usage: "service that the requests go to"},
			&cli.IntFlag{Name: "requests", Value: 1, Usage: "number of requests"},
			&cli.IntFlag{Name: "workers", Value: 1, Usage: "requests in flight at the same time"},
			&cli.FloatFlag{Name: "rate", Usage: "requests per second; 0 is unlimited"},
			&cli.BoolFlag{Name: "keyed", Usage: "give each request an idempotency key"},
			&cli.StringFlag{Name: "key", Usage: "give all requests this idempotency key"},
			&cli.StringSliceFlag{Name: "judge", Usage: "control URL of upstream stand-ins, whose run counts are compared with the outcomes; may be repeated"},
			&cli.StringFlag{Name: "team", Usage: "team that the requests are counted for"},
			&cli.StringFlag{Name: "class", Usage: "class, if not the service's own"},
			&cli.StringFlag{Name: "deadline", Usage: "time until the deadline, such as 2s"},
			&cli.StringFlag{Name: "run", Usage: "running time on the upstream, such as 50ms"},
			&cli.StringFlag{Name: "fault", Usage: "fault that the upstream injects, such as half"},
			&cli.BoolFlag{Name: "mayCut", Usage: "do not count cut requests as violations, for runs that kill a process"},
			&cli.BoolFlag{Name: "times", Usage: "print latency percentiles of the answered requests"},
		},
		Action: runCall,
	}
}

func runCall(ctx context.Context, c *cli.Command) error {
	r, err := caller.Load{
		Entries: c.StringSlice("entry"), Ready: c.StringSlice("ready"), Service: c.String("service"),
		Requests: c.Int("requests"), Workers: c.Int("workers"), Rate: c.Float("rate"),
		Keyed: c.Bool("keyed"), Key: c.String("key"), UpstreamControls: c.StringSlice("judge"),
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
	violations := r.Violations()
	if c.Bool("mayCut") {
		violations -= r.Cut
	}
	if violations > 0 {
		return errCallViolation
	}
	return nil
}
