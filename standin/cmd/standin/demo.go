package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"fescuelanding/standin/caller"
	"fescuelanding/standin/internal/process"

	"github.com/urfave/cli/v3"
)

const (
	_readyTimeout = 30 * time.Second
	_stopTimeout  = 20 * time.Second
	_demoRequests = 200
	_demoWorkers  = 8
	_fileMode     = 0o600
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "build and run a small fleet as separate processes, publish a configuration, send requests, stop",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Usage: "directory for programs, settings and logs; kept (default: a temporary one, removed)"},
		},
		Action: func(ctx context.Context, c *cli.Command) error { return runDemo(ctx, c.String("dir")) },
	}
}

func runDemo(ctx context.Context, dir string) error {
	if dir == "" {
		d, err := os.MkdirTemp("", "fescuelanding")
		if err != nil {
			return fmt.Errorf("make directory: %w", err)
		}
		defer os.RemoveAll(d)
		dir = d
	}
	l, err := newLayout()
	if err != nil {
		return fmt.Errorf("find addresses: %w", err)
	}
	d := &demo{dir: dir, layout: l, out: os.Stdout}
	err = d.run(ctx)
	return errors.Join(err, d.stop())
}

// demo is a fleet whose processes all run on this machine.
type demo struct {
	dir     string
	layout  layout
	out     io.Writer
	started []*process.Process
}

// run runs the steps in order and prints the title of each.
func (d *demo) run(ctx context.Context) error {
	for _, s := range []struct {
		title string
		do    func(context.Context) error
	}{
		{"Building entry and fescue", d.build},
		{"Starting the platform and upstream stand-ins", d.startStandins},
		{"Starting three entries", d.startEntries},
		{"Printing the configuration with the operator library", d.writeConfig},
		{"Publishing it with fescue", d.publish},
		{"Waiting until every entry is ready", d.waitReady},
		{"Sending requests", d.call},
	} {
		fmt.Fprintf(d.out, "\n== %s\n", s.title)
		if err := s.do(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.title, err)
		}
	}
	return nil
}

func (d *demo) build(ctx context.Context) error {
	return d.command(ctx, "go", "build", "-buildvcs=false", "-o", d.dir+string(filepath.Separator),
		"fescuelanding/entry", "fescuelanding/fescue")
}

// command runs a program until it exits, with its output going to d.out.
func (d *demo) command(ctx context.Context, program string, args ...string) error {
	c := exec.CommandContext(ctx, program, args...)
	c.Stdout, c.Stderr = d.out, d.out
	if err := c.Run(); err != nil {
		return fmt.Errorf("run %s: %w", filepath.Base(program), err)
	}
	return nil
}

// start starts a program in the background, with its output going to a log
// file.
func (d *demo) start(name, program string, args ...string) error {
	f, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return fmt.Errorf("make log: %w", err)
	}
	defer f.Close()
	p, err := process.Start(name, program, args, f)
	if err != nil {
		return err
	}
	d.started = append(d.started, p)
	fmt.Fprintf(d.out, "%s started, log in %s\n", name, f.Name())
	return nil
}

func (d *demo) startStandins(ctx context.Context) error {
	self, err := os.Executable()
	if err != nil {
		return fmt.Errorf("find own program: %w", err)
	}
	if err := d.start("platform", self, d.layout.platformArgs()...); err != nil {
		return err
	}
	if err := d.start("upstream", self, d.layout.upstreamArgs()...); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, _readyTimeout)
	defer cancel()
	return errors.Join(
		process.WaitOK(ctx, d.layout.platformURL()+"/control/stats"),
		process.WaitOK(ctx, d.layout.upstreamControlURL()+"/control/stats"))
}

func (d *demo) startEntries(context.Context) error {
	for _, e := range d.layout.entries {
		path := filepath.Join(d.dir, e.name+".ini")
		if err := os.WriteFile(path, d.layout.settings(e), _fileMode); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
		if err := d.start(e.name, filepath.Join(d.dir, "entry"), "run", "--settings", path); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) configPath() string { return filepath.Join(d.dir, "fleet.ini") }

func (d *demo) writeConfig(context.Context) error {
	t, err := d.layout.config().Text()
	if err != nil {
		return fmt.Errorf("print configuration: %w", err)
	}
	if err := os.WriteFile(d.configPath(), t, _fileMode); err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	if _, err := d.out.Write(t); err != nil {
		return fmt.Errorf("show configuration: %w", err)
	}
	return nil
}

func (d *demo) publish(ctx context.Context) error {
	return d.command(ctx, filepath.Join(d.dir, "fescue"), "--platform", d.layout.platformURL(), "publish", d.configPath())
}

func (d *demo) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, _readyTimeout)
	defer cancel()
	for _, e := range d.layout.entries {
		if err := process.WaitOK(ctx, "http://"+e.admin+"/ready"); err != nil {
			return err
		}
		fmt.Fprintf(d.out, "%s is ready\n", e.name)
	}
	return nil
}

func (d *demo) call(ctx context.Context) error {
	r, err := caller.Load{
		Entries: d.layout.callerURLs(), Service: _demoService, Requests: _demoRequests,
		Workers: _demoWorkers, Team: _demoTeam, Keyed: true, UpstreamControls: []string{d.layout.upstreamControlURL()},
	}.Run(ctx)
	if err != nil {
		return fmt.Errorf("send load: %w", err)
	}
	if err := r.Print(d.out); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	if r.Violations() > 0 || r.Answered != _demoRequests {
		return errCallViolation
	}
	return nil
}

// stop stops the started processes in reverse order, and kills those that don't
// exit in time.
func (d *demo) stop() error {
	fmt.Fprintf(d.out, "\n== Stopping\n")
	var all error
	for i := len(d.started) - 1; i >= 0; i-- {
		p := d.started[i]
		err := p.Stop(_stopTimeout)
		if errors.Is(err, process.ErrStillRunning) {
			p.Kill()
		}
		if err == nil {
			fmt.Fprintf(d.out, "%s stopped\n", p.Name())
		}
		all = errors.Join(all, err)
	}
	return all
}
