package main

import (
	"context"
	"errors"
	"fmt"
	"os"
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
