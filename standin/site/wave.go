package site

import (
	"slices"
	"strconv"

	"fescuelanding/platform"
)

// waveRecord is a declared wave and the hosts whose upkeep has begun.
type waveRecord struct {
	platform.Wave
	begun []string
}

func (s *Site) recordWave(w platform.Wave) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waves[w.Number] = &waveRecord{Wave: w}
}

// recordUpkeep records that the upkeep of a host begins, and checks that not too many are
// down for the wave. The caller holds the lock.
func (s *Site) recordUpkeep(wave int64, machine string) {
	w := s.waves[wave]
	if w == nil {
		s.addViolation("upkeep of %s for the undeclared wave %d", machine, wave)
		return
	}
	n := 0
	for _, m := range s.machines {
		if m.State == platform.MachineUpkeep && slices.Contains(w.Machines, m.Name) {
			n++
		}
	}
	if n >= w.MaxDown {
		s.addViolation("upkeep of %s began while %d hosts of wave %d were down", machine, n, wave)
	}
	w.begun = append(w.begun, machine)
}

// checkWaves checks that the upkeep of each host has begun in the waves that are said to
// be completed.
func (s *Site) checkWaves() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, w := range s.waves {
		if !s.waveCompleted(n) {
			continue
		}
		for _, m := range w.Machines {
			if !slices.Contains(w.begun, m) {
				s.addViolation("wave %d completed without the upkeep of %s", n, m)
			}
		}
	}
}

// waveCompleted reports whether the system says that a wave is completed.
func (s *Site) waveCompleted(n int64) bool {
	k := platform.KeyWavePrefix + strconv.FormatInt(n, 10)
	v, ok := s.store.Get(platform.TopicStatus, k)
	if !ok {
		return false
	}
	_, done := platform.DecodeWaveStatus(platform.Record{Key: k, Value: v})
	return done
}
