// Package process starts programs, waits until they serve requests, and stops
// them. The demo, the session tests and the capacity benchmarks use it.
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
	// Ports are chosen below the ephemeral range. Otherwise the outgoing
	// connection of a probe could get the port of the program that it probes
	// before the program listens on it.
	_lowPort   = 10_000
	_highPort  = 30_000
	_portTries = 1000
)

// ErrStillRunning reports that a program did not exit within the limit.
var ErrStillRunning = errors.New("still running")

// Process is a started program.
type Process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error // of Wait, once done is closed
}

// Start starts a program whose standard output and standard error go to out.
func Start(name, program string, args []string, out io.Writer) (*Process, error) {
	return StartWithEnv(name, program, args, nil, out)
}

// StartWithEnv is like Start, and adds variables of the form NAME=VALUE to the
// program's environment.
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

// Name returns the name given to Start.
func (p *Process) Name() string { return p.name }

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed once the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", p.name, err)
	}
	return nil
}

// Stop requests a graceful shutdown with SIGTERM and waits for the exit. It
// returns the error of the exit, or ErrStillRunning if the limit is exceeded;
// the program then continues to run.
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

// Kill ends the program immediately, even if it is stopped by SIGSTOP, and waits
// for its exit.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// WaitOK polls a URL until it answers 200. If the context ends first, the error
// includes that of the last probe.
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

// FreeAddresses returns n distinct addresses that were free when it checked. They
// are on a random loopback IP, because on 127.0.0.1 an outgoing connection may
// take a port before the process meant for it has started. All listeners stay
// open until the last address is found, so that no address is returned twice.
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

// randomLoopback returns a random IP of 127.0.0.0/8 if the system lets programs
// listen on it, else 127.0.0.1.
func randomLoopback() string {
	ip := netip.AddrFrom4([4]byte{127, octet(), octet(), octet()}).String()
	s, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "127.0.0.1"
	}
	_ = s.Close()
	return ip
}

// octet returns a random octet that is neither 0 nor 255, so that the IP is
// neither a network address nor a broadcast address.
func octet() byte { return byte(1 + rand.IntN(_maxOctet)) }
