package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"fescuelanding/entry/internal/node"
	"fescuelanding/entry/internal/notes"
	"fescuelanding/platform"
)

// onPlatform runs the entry of the users' platform.
func onPlatform(ctx context.Context, _ *cli.Command) error {
	b, err := platform.ReadBoot()
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	g := notes.New(os.Stdout, "entry")
	defer g.Close()
	if err := node.New(b, g).Run(ctx); err != nil {
		return fmt.Errorf("run: %w", err)
	}
	return nil
}
