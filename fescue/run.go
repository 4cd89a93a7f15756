package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"fescuelanding/fleet/platform"
)

const _anyNumber = -1

// run is one invocation of a command.
type run struct {
	args     []string
	flags    *cli.Command
	out      io.Writer
	json     bool
	operator string
	now      time.Time
}

// action returns a cli.ActionFunc that checks the number of arguments and calls do.
// It sets no time limit, since the limits for reading the platform and for waiting
// for the entries differ. do sets both.
func action(minArgs, maxArgs int, do func(context.Context, *run) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		args := c.Args().Slice()
		if len(args) < minArgs || maxArgs != _anyNumber && len(args) > maxArgs {
			return usagef("usage: %s %s", c.FullName(), c.ArgsUsage)
		}
		r := &run{
			args: args, flags: c, out: c.Root().Writer,
			json: c.Bool(_flagJSON), operator: c.String(_flagOperator), now: time.Now(),
		}
		return do(ctx, r)
	}
}

// load reads the fleet from the platform.
func (r *run) load(ctx context.Context) (*history, error) {
	url := r.flags.String(_flagPlatform)
	if url == "" {
		return nil, usagef("no platform: give --%s or set FESCUE_PLATFORM", _flagPlatform)
	}
	return load(ctx, platform.New(url))
}

func (r *run) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, r.flags.Duration(_flagTimeout))
}

// print writes v as JSON if the flag is set, and as text otherwise.
func (r *run) print(v fmt.Stringer) error {
	if !r.json {
		_, err := io.WriteString(r.out, v.String())
		return err
	}
	e := json.NewEncoder(r.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
