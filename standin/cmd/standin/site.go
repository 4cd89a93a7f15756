package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"fescuelanding/standin/site"
)

func siteCommand() *cli.Command {
	return &cli.Command{
		Name:      "site",
		Usage:     "run a session of real entries on a stand-in for the users' platform",
		ArgsUsage: "[SESSION FILE]; without one, a day without faults and with one job of each kind",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "log", Usage: "`FILE` for the output of the entries"},
			&cli.StringFlag{Name: "old", Usage: "`PATH` of an old build of the entry, for the commands old and new"},
		},
		Action: playSite,
	}
}

func playSite(ctx context.Context, c *cli.Command) error {
	text := site.DefaultSession
	if f := c.Args().First(); f != "" {
		b, err := os.ReadFile(f)
		if err != nil {
			return fmt.Errorf("read session: %w", err)
		}
		text = string(b)
	}
	dir, err := os.MkdirTemp("", "site")
	if err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	defer os.RemoveAll(dir)
	out, err := os.Create(filepath.Join(dir, "log"))
	if n := c.String("log"); err == nil && n != "" {
		out, err = os.Create(n)
	}
	if err != nil {
		return fmt.Errorf("create log: %w", err)
	}
	defer out.Close()
	entry := filepath.Join(dir, "entry")
	if err := buildEntry(ctx, entry); err != nil {
		return err
	}
	s := site.New(entry, dir, out)
	s.SetOldEntry(c.String("old"))
	defer s.Stop()
	if err := s.Start(); err != nil {
		return fmt.Errorf("start site: %w", err)
	}
	if err := s.Play(text, os.Stdout); err != nil {
		return fmt.Errorf("play: %w", err)
	}
	return nil
}

// buildEntry builds the entry's program.
func buildEntry(ctx context.Context, file string) error {
	b := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", file, "fescuelanding/entry")
	if t, err := b.CombinedOutput(); err != nil {
		return fmt.Errorf("build entry: %w\n%s", err, t)
	}
	return nil
}
