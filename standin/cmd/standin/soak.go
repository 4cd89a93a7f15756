package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"fescuelanding/standin/soak"
)

// errSoak reports that at least one soak failed.
var errSoak = errors.New("at least one soak failed; see the output")

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run real entries under random schedules of signals, restarts, faults and changes",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.Uint64Flag{Name: "seeds", Value: 1, Usage: "number of soaks, one per seed"},
			&cli.DurationFlag{Name: "for", Value: 20 * time.Second, Usage: "how long each soak injects faults"},
			&cli.IntFlag{Name: "entries", Usage: "number of entries; by default the seed determines it"},
			&cli.IntFlag{Name: "workers", Value: 1, Usage: "soaks that run at the same time"},
			&cli.BoolFlag{Name: "splits", Usage: "cut entries off from the store and some upstreams, and the others from the rest"},
			&cli.BoolFlag{Name: "restarts", Usage: "let hosts crash together and begin again under their IDs"},
			&cli.BoolFlag{Name: "stalls", Usage: "stop entries for some time, while hosts begin again under their IDs"},
			&cli.StringFlag{Name: "old", Usage: "`PATH` of an old build of the entry; entries run it at first and are replaced one after the other"},
			&cli.StringFlag{Name: "log", Usage: "`DIRECTORY` for the output of the entries, one file for each seed"},
		},
		Action: runSoaks,
	}
}

func runSoaks(ctx context.Context, c *cli.Command) error {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	defer os.RemoveAll(dir)
	logs := dir
	if n := c.String("log"); n != "" {
		logs = n
	}
	program := filepath.Join(dir, "entry")
	if err := buildEntry(ctx, program); err != nil {
		return err
	}
	begun, failed := time.Now(), 0
	seeds, results := make(chan uint64), make(chan error)
	var workers sync.WaitGroup
	for range c.Int("workers") {
		workers.Go(func() {
			for s := range seeds {
				results <- runSoak(&soak.Soak{
					Program: program, OldProgram: c.String("old"), Seed: s, Entries: c.Int("entries"),
					Faults: c.Duration("for"), Splits: c.Bool("splits"), Restarts: c.Bool("restarts"),
					Stalls: c.Bool("stalls"),
				}, dir, logs)
			}
		})
	}
	go func() {
		defer close(results)
		for s := c.Uint64("seed"); s < c.Uint64("seed")+c.Uint64("seeds") && ctx.Err() == nil; s++ {
			seeds <- s
		}
		close(seeds)
		workers.Wait()
	}()
	for e := range results {
		if e != nil {
			failed++
			err = errSoak
		}
	}
	fmt.Printf("%d soaks, %d failed, in %v\n", c.Uint64("seeds"), failed, time.Since(begun).Round(time.Second))
	return err
}

// runSoak runs a soak with a directory of its own, and prints the result. The schedule and
// the violations follow if it failed.
func runSoak(k *soak.Soak, dir, logs string) error {
	k.Dir = filepath.Join(dir, fmt.Sprint(k.Seed))
	if err := os.Mkdir(k.Dir, 0o700); err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	out, err := os.Create(filepath.Join(logs, fmt.Sprintf("seed%d.log", k.Seed)))
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	defer out.Close()
	k.Out = out
	r, err := k.Run()
	if err != nil {
		fmt.Printf("seed %d: %v\n", k.Seed, err)
		return fmt.Errorf("seed %d: %w", k.Seed, err)
	}
	if len(r.Violations) == 0 {
		fmt.Println(r)
		return nil
	}
	fmt.Printf("%v\n  %s\n%v", r, strings.Join(r.Violations, "\n  "), r.Schedule)
	return errSoak
}
