package main

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"
)

const (
	_defaultTimeout = 10 * time.Second
	_defaultWait    = 6 * time.Second

	_flagPlatform = "platform"
	_flagOperator = "operator"
	_flagJSON     = "json"
	_flagTimeout  = "timeout"
	_flagWait     = "wait"
	_flagBasis    = "basis"
	_flagBatch    = "batch"
	_flagCancel   = "cancel"
)

const _help = `Appends to and reads the platform's log, and applies it as the entries do.

Exit codes:
   0   done
   1   invalid: the configuration or the step is wrong, and nothing changed
   2   superseded: another operator was first, and nothing changed
   3   platform unavailable, and nothing was appended
   4   done, but some entries don't have it in force yet; they are named
   5   outcome unknown: look with status before trying again
   64  wrong usage or unreadable file

Examples:
   fescue check fleet.ini
   fescue --platform http://10.0.0.1:7100 diff fleet.ini
   fescue --platform http://10.0.0.1:7100 publish --basis 412 fleet.ini
   fescue drain mct1-r1-h1
   fescue recall start winter --batch b17
   fescue --json status`

// newCommand returns the program's command line.
func newCommand() *cli.Command {
	root := &cli.Command{
		Name:        "fescue",
		Usage:       "publish configurations and steer the maintenance of a fleet",
		Description: _help,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: _flagPlatform, Usage: "`URL` of the platform", Sources: cli.EnvVars("FESCUE_PLATFORM"),
			},
			&cli.StringFlag{
				Name: _flagOperator, Usage: "`NAME` written with each record", Value: "operator",
				Sources: cli.EnvVars("FESCUE_OPERATOR", "USER"),
			},
			&cli.BoolFlag{Name: _flagJSON, Usage: "print JSON"},
			&cli.DurationFlag{
				Name: _flagTimeout, Usage: "give up on the platform after this `TIME`", Value: _defaultTimeout,
			},
		},
		Commands: []*cli.Command{
			checkCommand(), diffCommand(), publishCommand(), statusCommand(),
			drainCommand(), undrainCommand(), moveCommand(),
			recallCommand(), waveCommand(), entryCommand(), explainCommand(),
		},
		// main chooses the exit code, so the library must not exit.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	returnUsageErrors(root)
	return root
}

// returnUsageErrors makes the command and its subcommands return the error of a
// wrong flag instead of printing help, so that main reports it in one line like
// any other error.
func returnUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }
	for _, s := range c.Commands {
		returnUsageErrors(s)
	}
}

func waitFlag() cli.Flag {
	return &cli.DurationFlag{
		Name: _flagWait, Usage: "wait this `TIME` for the entries; zero doesn't wait", Value: _defaultWait,
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name: "check", Usage: "check a configuration", ArgsUsage: "FILE",
		Description: "Needs no platform.\n\nExample: fescue check fleet.ini",
		Action:      action(1, 1, check),
	}
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "show what publishing a configuration would change", ArgsUsage: "FILE",
		Description: "The offset that it prints can be given to publish --basis.\n\nExample: fescue diff fleet.ini",
		Action:      action(1, 1, diff),
	}
}

func publishCommand() *cli.Command {
	return &cli.Command{
		Name: "publish", Usage: "put a configuration in force and wait for every entry", ArgsUsage: "FILE",
		Description: "Of two operators who publish at once, one is told that it was superseded.\n\n" +
			"Example: fescue publish --basis 412 fleet.ini",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: _flagBasis, Usage: "publish only if the configuration in force is the one of this `OFFSET`"},
			waitFlag(),
		},
		Action: action(1, 1, publish),
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show pools, hosts out of duty, recalls, waves and entries",
		Description: "Example: fescue --json status",
		Action:      action(0, 0, status),
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name: "drain", Usage: "keep a host out of duty, once its pool's budget allows", ArgsUsage: "HOST",
		Description: "Example: fescue drain mct1-r1-h1",
		Flags:       []cli.Flag{waitFlag()},
		Action:      action(1, 1, drain),
	}
}

func undrainCommand() *cli.Command {
	return &cli.Command{
		Name: "undrain", Usage: "end a drain", ArgsUsage: "HOST",
		Description: "Example: fescue undrain mct1-r1-h1",
		Flags:       []cli.Flag{waitFlag()},
		Action:      action(1, 1, undrain),
	}
}

func moveCommand() *cli.Command {
	return &cli.Command{
		Name: "move", Usage: "have a host moved to another pool", ArgsUsage: "HOST [POOL]",
		Description: "Examples:\n   fescue move mct1-r1-h1 fitting\n   fescue move --cancel mct1-r1-h1",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: _flagCancel, Usage: "withdraw the wish"},
			waitFlag(),
		},
		Action: action(1, 2, move),
	}
}

func recallCommand() *cli.Command {
	return &cli.Command{
		Name: "recall", Usage: "replace the parts of a batch on every host",
		Commands: []*cli.Command{
			{
				Name: "start", Usage: "start a recall", ArgsUsage: "NAME",
				Description: "Example: fescue recall start winter --batch b17",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: _flagBatch, Usage: "`BATCH` to recall", Required: true},
					waitFlag(),
				},
				Action: action(1, 1, recallStart),
			},
			{
				Name: "cancel", Usage: "end a recall; hosts not yet drained stay in duty", ArgsUsage: "NAME",
				Description: "Example: fescue recall cancel winter",
				Flags:       []cli.Flag{waitFlag()},
				Action:      action(1, 1, recallCancel),
			},
		},
	}
}

func waveCommand() *cli.Command {
	return &cli.Command{
		Name: "wave", Usage: "maintain every host of some pools",
		Commands: []*cli.Command{
			{
				Name: "start", Usage: "start a wave over the pools, or all of them", ArgsUsage: "NAME [POOL...]",
				Description: "Example: fescue wave start spring fitting returns",
				Flags:       []cli.Flag{waitFlag()},
				Action:      action(1, _anyNumber, waveStart),
			},
			{
				Name: "cancel", Usage: "end a wave; hosts not yet drained stay in duty", ArgsUsage: "NAME",
				Description: "Example: fescue wave cancel spring",
				Flags:       []cli.Flag{waitFlag()},
				Action:      action(1, 1, waveCancel),
			},
		},
	}
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name: "entry", Usage: "steer entries",
		Commands: []*cli.Command{{
			Name: "unregister", Usage: "give up an entry that is known to run no more", ArgsUsage: "ENTRY",
			Description: "Steps no longer wait for its word. Make sure that its process has ended: one that\n" +
				"still runs may have requests in flight on hosts that are then taken down.\n\n" +
				"Example: fescue entry unregister entry3",
			Flags:  []cli.Flag{waitFlag()},
			Action: action(1, 1, unregister),
		}},
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "tell which rule holds a host or a pool back and what would free it",
		Commands: []*cli.Command{
			{
				Name: "host", Usage: "explain a host", ArgsUsage: "HOST",
				Description: "Example: fescue explain host mct1-r1-h1",
				Action:      action(1, 1, explainHost),
			},
			{
				Name: "pool", Usage: "explain a pool", ArgsUsage: "POOL",
				Description: "Example: fescue explain pool fitting",
				Action:      action(1, 1, explainPool),
			},
		},
	}
}
