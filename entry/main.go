// Command entry is the daemon of an entry host.
//
//	entry run --settings entry.ini     Runs the entry until SIGTERM.
//	entry check --settings entry.ini   Checks the settings and exits.
//	entry reference                    Prints the table of settings.
//	entry platform                     Runs the entry on the users' platform until SIGTERM.
//
// The run command connects to the platform at the URL in its settings file. The
// platform command runs the entry on the users' platform, through package
// fescuelanding/platform, and needs no settings file. It reads that platform's
// boot file at the path in the environment variable FESCUELANDING_BOOT, or else at
// /etc/fescuelanding/boot.conf.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"fescuelanding/entry/internal/daemon"
	"fescuelanding/entry/internal/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := command().Run(ctx, os.Args)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// command returns the command line of the daemon.
func command() *cli.Command {
	f := &cli.StringFlag{Name: "settings", Usage: "INI `FILE` of this entry", Required: true}
	late := &cli.BoolFlag{Name: "accept-late", Usage: "accept jobs that will be late while others can be on time"}
	return &cli.Command{
		Name:  "entry",
		Usage: "serve callers' requests from the host pools of a fleet",
		Commands: []*cli.Command{
			{Name: "run", Usage: "run the entry until SIGTERM", Flags: []cli.Flag{f}, Action: run},
			{Name: "check", Usage: "check the settings and exit", Flags: []cli.Flag{f}, Action: check},
			{Name: "reference", Usage: "print the table of settings", Action: reference},
			{
				Name: "platform", Usage: "run the entry on the users' platform, configured by its boot file",
				Flags: []cli.Flag{late}, Action: runOnPlatform,
			},
		},
	}
}

func run(ctx context.Context, c *cli.Command) error {
	s, err := settings.Read(c.String("settings"))
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	l, err := log.ParseLevel(s.Level())
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	g := log.NewWithOptions(os.Stderr, log.Options{
		Level: l, Prefix: "entry", ReportTimestamp: true, TimeFormat: time.RFC3339Nano,
	})
	if err := daemon.New(s, g).Run(ctx); err != nil {
		return fmt.Errorf("run: %w", err)
	}
	return nil
}

func check(_ context.Context, c *cli.Command) error {
	if _, err := settings.Read(c.String("settings")); err != nil {
		return fmt.Errorf("check: %w", err)
	}
	fmt.Println("Settings are right.")
	return nil
}

func reference(context.Context, *cli.Command) error {
	if err := settings.Reference(os.Stdout); err != nil {
		return fmt.Errorf("reference: %w", err)
	}
	return nil
}
