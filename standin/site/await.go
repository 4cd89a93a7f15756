package site

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"fescuelanding/platform"
)

// waitFor waits until a condition holds, for at most _waitLimit.
func (s *Site) waitFor(f []string) (string, error) {
	n, err := strconv.Atoi(f[1])
	if err != nil {
		return "", ErrCommand
	}
	for end := time.Now().Add(_waitLimit); time.Now().Before(end); time.Sleep(_pollInterval) {
		switch f[0] {
		case "begun":
			if s.startedRuns() >= n {
				return "", nil
			}
		case "heard":
			if l := s.takeEvents(n); l != nil {
				return strings.Join(l, "\n  "), nil
			}
		case "hosts":
			if s.hostsUp(f[2]) >= n {
				return "", nil
			}
		case "owners":
			if s.countOwners() == n {
				return "", nil
			}
		case "recorded":
			if s.store.countKeys("keyed.jobs", f[2]+"/h/") == n {
				return "", nil
			}
		case "waved":
			if s.waveCompleted(int64(n)) {
				return "completed", nil
			}
		}
	}
	return "condition not met within " + _waitLimit.String(), nil
}

// awaitWork waits until tasks of a job are at work. It returns ErrLate if they aren't in time.
func (s *Site) awaitWork(f []string) error {
	n, err := strconv.Atoi(f[2])
	if err != nil {
		return ErrCommand
	}
	ms, err := strconv.Atoi(f[3])
	if err != nil {
		return ErrCommand
	}
	limit := time.Duration(ms) * time.Millisecond
	for {
		_, running := s.countTasks(f[1])
		switch {
		case running >= n:
			return nil
		case time.Since(s.calmAt) > limit:
			return fmt.Errorf("%d of %d tasks at work after %s: %w", running, n, limit, ErrLate)
		}
		time.Sleep(_pollInterval)
	}
}

// countOwners counts the entries that hold partitions.
func (s *Site) countOwners() int {
	owners := make(map[string]bool)
	for p := range _partitions {
		if name := s.Owner(p); name != "" {
			owners[name] = true
		}
	}
	return len(owners)
}

func (s *Site) hostsUp(pool string) int {
	n := 0
	for _, m := range s.listMachines() {
		if m.Pool == pool && m.State == platform.MachineUp {
			n++
		}
	}
	return n
}

func (s *Site) startedRuns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, d := range s.tasks {
		n += d.runCount
	}
	return n
}

func (s *Site) takeEvents(n int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.events) < n {
		return nil
	}
	l := slices.Compact(slices.Sorted(slices.Values(s.events)))
	s.events = nil
	return l
}
