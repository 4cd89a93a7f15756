package scheduler

import (
	"slices"

	"fescuelanding/platform"
)

// placeGang places all tasks of a step at once, or none. All get the same run
// number, which is higher than any that a member has used.
func (p *pass) placeGang(st *step) {
	if st.running > 0 || st.left < len(st.tasks) {
		return // A gang restarts only after the runs of all members have ended.
	}
	racks := []string{""}
	if st.def.GetSameRack() {
		racks = append(p.racks(), "")
	}
	for _, rack := range racks {
		if hosts := p.findGangHosts(st, rack); hosts != nil {
			n := int64(0)
			for i := range st.tasks {
				n = max(n, st.tasks[i].lastRun)
			}
			for i := range st.tasks {
				p.s.startAs(p.now, &st.tasks[i], hosts[i], n+1, p.trial(&st.tasks[i]))
				p.closeIfFull(hosts[i])
			}
			return
		}
	}
	p.requestAdvice(&st.tasks[0])
	if p.trial(&st.tasks[0]) > 0 {
		p.s.suspectWaits = true
	}
	if !st.occurrence.job.givesWay() && p.now.Sub(st.waitingSince) > _reserveAfter && len(p.reserved) < _maxReserved {
		p.reserve(&st.tasks[0])
	}
}

func (p *pass) racks() []string {
	var l []string
	for _, h := range p.hosts {
		if h.rack != "" && !slices.Contains(l, h.rack) {
			l = append(l, h.rack)
		}
	}
	return l
}

// findGangHosts returns an upstream for each task of a gang, or nil. A non-empty
// rack restricts the choice.
func (p *pass) findGangHosts(st *step, rack string) []*host {
	d := p.trial(&st.tasks[0])
	free := make(map[*host]platform.Capacity, len(p.hosts))
	count := make(map[*host]int)
	var out []*host
	for i := range st.tasks {
		var best *host
		for _, h := range p.open {
			if _, ok := free[h]; !ok {
				free[h] = h.free()
			}
			if p.reserved[h] || rack != "" && h.rack != rack || !p.allowed(&st.tasks[i], h) || !fitsIn(st.def, free[h]) || !p.admits(&st.tasks[i], h, d) {
				continue
			}
			if n := int(st.def.GetAntiAffinity()); n > 0 && count[h] >= n {
				continue
			}
			if best == nil || free[h].MilliCPU < free[best].MilliCPU {
				best = h
			}
		}
		if best == nil {
			return nil
		}
		f := free[best]
		f.MilliCPU -= st.def.GetMilliCpu()
		f.MemoryMB -= st.def.GetMemoryMb()
		f.GPUs -= st.def.GetGpus()
		free[best] = f
		count[best]++
		out = append(out, best)
	}
	return out
}
