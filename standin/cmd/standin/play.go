package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"fescuelanding/standin/emulator"
)

// errSimulationViolation reports that at least one simulation violated a
// guarantee.
var errSimulationViolation = errors.New("at least one guarantee was violated; see the output")

func playCommand() *cli.Command {
	return &cli.Command{
		Name:  "play",
		Usage: "simulate the entries' decisions on an emulated platform in virtual time",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "from", Value: 1, Usage: "first seed"},
			&cli.Uint64Flag{Name: "seeds", Value: 100, Usage: "number of simulations, one per seed"},
			&cli.IntFlag{Name: "workers", Value: 2, Usage: "simulations that run at the same time"},
			&cli.BoolFlag{Name: "recovery", Usage: "kill the pool's owner in each simulation, and print the time until the pool starts jobs again"},
			&cli.BoolFlag{Name: "splits", Usage: "add splits of the network into two sides, and tasks that run for seconds"},
			&cli.BoolFlag{Name: "cancels", Usage: "have half of the jobs cancelled, while their tasks run for seconds"},
			&cli.BoolFlag{Name: "batches", Usage: "have owners fall behind their events, and handle several at once"},
			&cli.BoolFlag{Name: "policy", Usage: "have the queue's policy decide on which upstreams a step may run"},
			&cli.BoolFlag{Name: "moves", Usage: "have the queue's route feed other pools from time to time, while accepted jobs are submitted again"},
			&cli.IntFlag{Name: "jobs", Usage: "the number of jobs, instead of the usual one"},
			&cli.IntFlag{Name: "upstreams", Usage: "the number of upstreams, instead of the usual one"},
			&cli.BoolFlag{Name: "late", Usage: "have some orders executed late and others in time, with half of the jobs long-running"},
			&cli.BoolFlag{Name: "restarts", Usage: "add waves in which upstreams crash together and start again under their IDs, while tasks wait for room"},
			&cli.BoolFlag{Name: "stale-calls", Usage: "with --restarts: have upstreams execute calls that were meant for a former incarnation"},
			&cli.BoolFlag{Name: "stalls", Usage: "add spells in which owners stand still while their clocks run on, and upstreams start again under their IDs"},
			&cli.BoolFlag{Name: "exits", Usage: "have runs of long-running tasks end by themselves as done"},
			&cli.BoolFlag{Name: "power-loss", Usage: "cut the power of all entries at once after the other faults, while callers go on"},
			&cli.BoolFlag{Name: "trace", Usage: "print the trace of the first seed's simulation, and run no other"},
			&cli.StringFlag{Name: "load", Usage: "replay the load in this file with each seed, and print the results"},
		},
		Action: play,
	}
}

func play(_ context.Context, c *cli.Command) error {
	from := c.Uint64("from")
	if f := c.String("load"); f != "" {
		return replay(f, from, c.Uint64("seeds"), c.Bool("trace"))
	}
	world := func(seed uint64, trace io.Writer) *emulator.World {
		return emulator.New(emulator.Settings{
			Seed: seed, Splits: c.Bool("splits"), Cancels: c.Bool("cancels"), Batches: c.Bool("batches"),
			LateOrders: c.Bool("late"), Policy: c.Bool("policy"), Moves: c.Bool("moves"), Upstreams: c.Int("upstreams"), Jobs: c.Int("jobs"), PowerLoss: c.Bool("power-loss"),
			Restarts: c.Bool("restarts"), StaleCalls: c.Bool("stale-calls"),
			Stalls: c.Bool("stalls"), Exits: c.Bool("exits"), Trace: trace,
		})
	}
	if c.Bool("trace") {
		return report(from, world(from, os.Stdout).Run())
	}
	if c.Bool("recovery") {
		return recovery(from, c.Uint64("seeds"))
	}
	begun := time.Now()
	next := make(chan uint64)
	failed := make(chan error, c.Int("workers"))
	var done sync.WaitGroup
	for range c.Int("workers") {
		done.Go(func() {
			var all error
			for seed := range next {
				all = errors.Join(all, report(seed, world(seed, nil).Run()))
			}
			failed <- all
		})
	}
	for seed := from; seed < from+c.Uint64("seeds"); seed++ {
		next <- seed
	}
	close(next)
	done.Wait()
	close(failed)
	var err error
	for e := range failed {
		err = errors.Join(err, e)
	}
	fmt.Printf("%d histories in %v\n", c.Uint64("seeds"), time.Since(begun).Round(time.Millisecond))
	if err != nil {
		return errSimulationViolation
	}
	return nil
}

// replay replays a load with some seeds and prints the results. With trace, it prints the
// trace of the first seed's simulation before its result, and runs no other.
func replay(file string, from, seeds uint64, trace bool) error {
	r, err := os.Open(file)
	if err != nil {
		return fmt.Errorf("open load: %w", err)
	}
	defer r.Close()
	l, err := emulator.ParseLoad(r)
	if err != nil {
		return fmt.Errorf("parse %s: %w", file, err)
	}
	if trace {
		v := emulator.Replay(l, from, os.Stdout)
		fmt.Print(v)
		return report(from, v.Violations())
	}
	var all error
	for seed := from; seed < from+seeds; seed++ {
		v := emulator.Replay(l, seed, nil)
		fmt.Printf("seed %d\n%v", seed, v)
		all = errors.Join(all, report(seed, v.Violations()))
	}
	return all
}

// recovery kills a pool's owner once for each seed, and prints percentiles of the
// time until the pool starts a job again.
func recovery(from, seeds uint64) error {
	var l []time.Duration
	for seed := from; seed < from+seeds; seed++ {
		w := emulator.New(emulator.Settings{Seed: seed, FaultFree: true, Jobs: 120, KillOwner: 6 * time.Second})
		if err := report(seed, w.Run()); err != nil {
			return err
		}
		l = append(l, w.FailoverTime())
	}
	slices.Sort(l)
	at := func(share float64) time.Duration { return l[int(share*float64(len(l)-1))].Round(time.Millisecond) }
	fmt.Printf("%d deaths of an owner; next start after p50 %v, p99 %v, at most %v\n", len(l), at(0.5), at(0.99), at(1))
	return nil
}

// report prints the violations of a simulation, and returns
// errSimulationViolation if there are any.
func report(seed uint64, wrong []emulator.Violation) error {
	for _, v := range wrong {
		fmt.Printf("seed %d: %v\n", seed, v)
	}
	if len(wrong) > 0 {
		return errSimulationViolation
	}
	return nil
}
