package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// TestPickAsIfAllWereCompared places steps on upstreams of different sizes, health and load, and compares each
// choice with that among all upstreams.
func TestPickAsIfAllWereCompared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		s := New(Settings{Pool: "p", Token: 1})
		p := &pass{s: s, now: now, reserved: make(map[*host]bool)}
		cpu := rapid.Int64Range(0, 8).Draw
		for i := range rapid.IntRange(1, 12).Draw(t, "hosts") {
			h := newHost(platform.Upstream{ID: fmt.Sprintf("u%02d", i), Capacity: platform.Capacity{MilliCPU: 1000 * cpu(t, "capacity"), MemoryMB: 8000}, Labels: []string{"a", fmt.Sprintf("r1-%d", i%3)}}, now)
			s.hosts.add(h)
			h.used.MilliCPU = min(h.up.Capacity.MilliCPU, 500*cpu(t, "used"))
			if rapid.IntRange(0, 4).Draw(t, "failed") == 0 {
				h.health.lastFailure, h.health.streak = now, 1
			}
			p.reserved[h] = rapid.IntRange(0, 5).Draw(t, "reserved") == 0
			p.hosts = append(p.hosts, h)
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "steps") {
			d := &work.Step{
				Count: rapid.Int32Range(1, 9).Draw(t, "count"), MilliCpu: 250 * cpu(t, "request"), MemoryMb: 100 * cpu(t, "memory"),
				AntiAffinity: rapid.Int32Range(0, 2).Draw(t, "apart"), LongRunning: rapid.Bool().Draw(t, "lasts"), Fills: rapid.Bool().Draw(t, "fills"),
				Affinity: rapid.SampledFrom([]string{"", "r1-1"}).Draw(t, "affinity"),
			}
			o := newOccurrence(&job{def: &work.Job{Id: fmt.Sprintf("%016d", i), Steps: []*work.Step{d}}}, 0)
			st := o.steps[0]
			p.least, p.open = 0, slices.Clone(p.hosts)
			for x := range st.tasks {
				c := &st.tasks[x]
				c.avoid = rapid.SampledFrom([]string{"", "", "", "u00", "u01"}).Draw(t, "avoid")
				want := cheapest(p, c)
				got := p.pick(c, "")
				assert.Assert(t, got == want, "task %d of step %d: %v, want %v", x, i, got, want)
				if got != nil {
					s.attach(&run{task: c, number: 1}, got)
					p.closeIfFull(got)
				}
			}
		}
	})
}

// cheapest returns the first of the upstreams with the lowest cost for a task, or nil.
func cheapest(p *pass, t *task) *host {
	var best *host
	for _, h := range p.open {
		if !p.reserved[h] && p.allowed(t, h) && fitsIn(t.step.def, h.free()) && (best == nil || p.cost(t, h) < p.cost(t, best)) {
			best = h
		}
	}
	return best
}
