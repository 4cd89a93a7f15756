package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"fescuelanding/standin/emulator"
)

// errBroken says that a history broke a promise.
var errBroken = errors.New("a promise was broken")

func playCommand() *cli.Command {
	return &cli.Command{
		Name:  "play",
		Usage: "play the entries' decisions on an emulated platform in virtual time",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "from", Value: 1, Usage: "first seed"},
			&cli.Uint64Flag{Name: "seeds", Value: 100, Usage: "number of histories, one a seed"},
			&cli.IntFlag{Name: "workers", Value: 2, Usage: "histories played at the same time"},
			&cli.BoolFlag{Name: "recovery", Usage: "kill the owner in each, and print how long the pool stood still"},
			&cli.BoolFlag{Name: "trace", Usage: "print the history of the first seed, and play no other"},
		},
		Action: play,
	}
}

func play(_ context.Context, c *cli.Command) error {
	from := c.Uint64("from")
	if c.Bool("trace") {
		return report(from, emulator.New(emulator.Settings{Seed: from, Trace: os.Stdout}).Run())
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
				all = errors.Join(all, report(seed, emulator.New(emulator.Settings{Seed: seed}).Run()))
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
		return errBroken
	}
	return nil
}

// recovery prints how long a pool stands still when its owner is killed.
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

// report prints what was wrong with a history.
func report(seed uint64, wrong []emulator.Violation) error {
	for _, v := range wrong {
		fmt.Printf("seed %d: %v\n", seed, v)
	}
	if len(wrong) > 0 {
		return errBroken
	}
	return nil
}
