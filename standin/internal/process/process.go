// Package process starts programs, waits until they serve, and stops them. The
// demo and the sessions of real processes use it.
package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"
)

const (
	_poll         = 20 * time.Millisecond
	_probeTimeout = 500 * time.Millisecond
	_maxOctet     = 254
	// Ports are taken below those that systems give to outgoing connections: a
	// probe of a program that doesn't listen yet may be given its very port.
	_lowPort   = 10_000
	_highPort  = 30_000
	_portTries = 1000
)

// ErrStillRunning reports a program that did not exit in time.
var ErrStillRunning = errors.New("still running")

// Process is a program that was started.
type Process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error // of Wait, once done is closed
}

// Start runs a program with both of its outputs going to out.
func Start(name, program string, args []string, out io.Writer) (*Process, error) {
	return StartWithEnv(name, program, args, nil, out)
}

// StartWith is Start with variables, of the form NAME=VALUE, added to the
// environment.
func StartWithEnv(name, program string, args, env []string, out io.Writer) (*Process, error) {
	p := &Process{name: name, cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Name returns the name it was started under.
func (p *Process) Name() string { return p.name }

// PID returns the number of the process.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", p.name, err)
	}
	return nil
}

// Stop asks for a graceful shutdown and waits for it. The error is that of the
// exit, or ErrStillRunning, after which the program goes on.
func (p *Process) Stop(limit time.Duration) error {
	if err := p.Signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-p.done:
		if p.err != nil {
			return fmt.Errorf("exit of %s: %w", p.name, p.err)
		}
		return nil
	case <-time.After(limit):
		return fmt.Errorf("stop %s: %w", p.name, ErrStillRunning)
	}
}

// Kill ends the program at once, also a frozen one, and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// WaitOK polls a URL until it answers 200 or the context ends.
func WaitOK(ctx context.Context, url string) error {
	c := http.Client{Timeout: _probeTimeout}
	for {
		last := probe(ctx, &c, url)
		if last == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for %s: %w", url, errors.Join(ctx.Err(), last))
		case <-time.After(_poll):
		}
	}
}

func probe(ctx context.Context, c *http.Client, url string) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("make probe: %w", err)
	}
	a, err := c.Do(q)
	if err != nil {
		return fmt.Errorf("probe: %w", err)
	}
	defer a.Body.Close()
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("probe: status %s", a.Status)
	}
	return nil
}

// FreeAddresses returns addresses that were free a moment ago, on a loopback IP
// of their own: on 127.0.0.1 an outgoing connection may take a port before its
// process has started. All are held until the last is found, so that none is
// given twice.
func FreeAddresses(n int) ([]string, error) {
	ip := randomLoopback()
	var l []string
	for tries := 0; len(l) < n; tries++ {
		port := strconv.Itoa(_lowPort + rand.IntN(_highPort-_lowPort))
		s, err := net.Listen("tcp", net.JoinHostPort(ip, port))
		if err != nil && tries < _portTries {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("find free port: %w", err)
		}
		defer s.Close()
		l = append(l, s.Addr().String())
	}
	return l, nil
}

// randomLoopback returns an IP of 127.0.0.0/8 where the system has all of
// them, else 127.0.0.1.
func randomLoopback() string {
	ip := netip.AddrFrom4([4]byte{127, octet(), octet(), octet()}).String()
	s, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "127.0.0.1"
	}
	_ = s.Close()
	return ip
}

// octet returns a part of an IP that is neither a network's nor a broadcast's.
func octet() byte { return byte(1 + rand.IntN(_maxOctet)) }
