package site

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"fescuelanding/platform"
	"fescuelanding/platform/serve"
	"fescuelanding/standin/internal/process"
)

// StartEntry starts or restarts an entry and waits until it is ready. A restarted entry
// keeps its addresses.
func (s *Site) StartEntry(name string) error {
	if err := s.LaunchEntry(name); err != nil {
		return err
	}
	return s.AwaitReady(name)
}

// LaunchEntry is like StartEntry, but doesn't wait until the entry is ready.
func (s *Site) LaunchEntry(name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.boots[name]
	if !ok {
		var err error
		if b, err = s.boot(name); err != nil {
			return err
		}
		s.boots[name] = b
	}
	file := filepath.Join(s.dir, name+".conf")
	text := serve.Boot(b)
	for _, l := range s.bootLines {
		text += l + "\n"
	}
	if err := os.WriteFile(file, []byte(text), _fileMode); err != nil {
		return fmt.Errorf("write boot file: %w", err)
	}
	program := s.entry
	if s.runsOld[name] {
		program = s.oldEntry
		s.log(name + " runs the old build")
	}
	p, err := process.StartWithEnv(name, program, []string{"platform"}, []string{platform.BootVariable + "=" + file}, s.out)
	if err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	s.entries[name] = p
	s.faults.strike()
	s.faults.end("process " + name)
	s.faults.end("stop " + name)
	return nil
}

func (s *Site) boot(name string) (platform.Boot, error) {
	l, err := process.FreeAddresses(3)
	if err != nil {
		return platform.Boot{}, fmt.Errorf("find free addresses: %w", err)
	}
	var at [3]netip.AddrPort
	for i := range at {
		if at[i], err = netip.ParseAddrPort(l[i]); err != nil {
			return platform.Boot{}, fmt.Errorf("parse address: %w", err)
		}
	}
	if s.paths[name], err = s.openPaths(name); err != nil {
		return platform.Boot{}, err
	}
	return platform.Boot{
		Host: name, DataCentre: "muscat-a", Address: at[0].Addr(), CallerAddress: at[0], ReadyAddress: at[1],
		FirstPort: at[2].Port(), LastPort: at[2].Port(), MilliCPU: 400, Advice: s.adviceAt, Heartbeat: _heartbeatInterval,
		Store: platform.StoreSettings{
			Address: s.paths[name][_storePeer].address, Partitions: _partitions, CallBytes: CallBytes, RecordBytes: RecordBytes, MinTTL: time.Second,
		},
		Cloud: platform.CloudSettings{Address: s.cloudAt, CallsPerS: 64, OrdersPerS: 64},
		Bounds: platform.Bounds{
			MaxLease: _maxLease, StopTimeout: _stopTime, GangTimeout: _gangTimeout,
			Grace: 6 * time.Second, StatusRetention: 2 * time.Minute, RemoteFactor: 2, MoveTime: _moveTime, UpkeepTime: _upkeepTime,
			HolderLease: 500 * time.Millisecond, StrictRevocation: true, RevocationTime: _revocationTime,
		},
	}, nil
}

// AwaitReady waits until an entry is ready.
func (s *Site) AwaitReady(name string) error {
	ctx, cancel := context.WithTimeout(context.Background(), _startTimeout)
	defer cancel()
	if err := process.WaitOK(ctx, "http://"+s.bootOf(name).ReadyAddress.String()+"/api/ready"); err != nil {
		return fmt.Errorf("wait for entry %s to be ready: %w", name, err)
	}
	return nil
}

func (s *Site) bootOf(name string) platform.Boot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boots[name]
}

func (s *Site) process(name string) *process.Process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[name]
}

// Address returns the address on which an entry serves callers.
func (s *Site) Address(name string) netip.AddrPort { return s.bootOf(name).CallerAddress }

// ReadyAddress returns the address of an entry for health checks of the load balancer.
func (s *Site) ReadyAddress(name string) netip.AddrPort { return s.bootOf(name).ReadyAddress }

// PID returns the process ID of the current process of an entry.
func (s *Site) PID(name string) int { return s.process(name).PID() }

// Exited returns a channel that is closed once the current process of an entry has exited.
func (s *Site) Exited(name string) <-chan struct{} { return s.process(name).Done() }

// Kill kills the process of an entry.
func (s *Site) Kill(name string) {
	s.faults.begin("process " + name)
	s.process(name).Kill()
}

// Terminate stops an entry in an orderly way. It returns an error if the entry doesn't
// exit within _stopTimeout.
func (s *Site) Terminate(name string) error {
	s.faults.begin("process " + name)
	return s.process(name).Stop(_stopTimeout)
}

// Signal sends a signal to the process of an entry.
func (s *Site) Signal(name string, v syscall.Signal) error {
	if v == syscall.SIGTERM {
		s.faults.begin("process " + name)
	}
	if v == syscall.SIGSTOP {
		s.faults.begin("stop " + name)
	}
	if v == syscall.SIGCONT {
		defer s.faults.end("stop " + name)
	}
	return s.process(name).Signal(v)
}
