package quota

import (
	"maps"
	"slices"

	"fescuelanding/entry/link"
)

// Encode writes the grant into a request to a pool's owner.
func (g Grant) Encode(l *link.Load) {
	l.SharesOwner, l.SharesReport = g.Owner, g.Report
	for _, w := range slices.Sorted(maps.Keys(g.Shares)) {
		s := g.Shares[w]
		l.Shares = append(l.Shares, &link.Share{
			Workspace: w, MilliCpu: s.Amount.MilliCPU, MemoryMb: s.Amount.MemoryMB, Gpus: s.Amount.GPUs,
			ReachMilliCpu: s.Reach.MilliCPU, ReachMemoryMb: s.Reach.MemoryMB, ReachGpus: s.Reach.GPUs,
		})
	}
}

// DecodeGrant reads a grant of shares that are for an owner and answer one of its reports.
func DecodeGrant(owner, report int64, shares []*link.Share) Grant {
	g := Grant{Owner: owner, Report: report, Shares: make(map[string]Share, len(shares))}
	for _, x := range shares {
		g.Shares[x.GetWorkspace()] = Share{
			Amount: Amount{MilliCPU: x.GetMilliCpu(), MemoryMB: x.GetMemoryMb(), GPUs: x.GetGpus()},
			Reach:  Amount{MilliCPU: x.GetReachMilliCpu(), MemoryMB: x.GetReachMemoryMb(), GPUs: x.GetReachGpus()},
		}
	}
	return g
}

// Encode writes the report into the load of the owner's pool.
func (r Report) Encode(l *link.PoolLoad) {
	l.Owner, l.Report = r.Owner, r.Number
	for _, w := range slices.Sorted(maps.Keys(r.Use)) {
		u := r.Use[w]
		l.Usage = append(l.Usage, &link.Usage{
			Workspace: w, MilliCpu: u.Running.MilliCPU, MemoryMb: u.Running.MemoryMB, Gpus: u.Running.GPUs,
			WaitingMilliCpu: u.Waiting.MilliCPU, WaitingMemoryMb: u.Waiting.MemoryMB, WaitingGpus: u.Waiting.GPUs,
			UnitMilliCpu: u.Unit.MilliCPU, UnitMemoryMb: u.Unit.MemoryMB, UnitGpus: u.Unit.GPUs,
		})
	}
	for _, w := range slices.Sorted(maps.Keys(r.Shares)) {
		a := r.Shares[w]
		l.Shares = append(l.Shares, &link.Share{Workspace: w, MilliCpu: a.MilliCPU, MemoryMb: a.MemoryMB, Gpus: a.GPUs})
	}
}

// DecodeReport reads the report in the load of a pool.
func DecodeReport(l *link.PoolLoad) Report {
	r := Report{
		Owner: l.GetOwner(), Number: l.GetReport(),
		Shares: make(map[string]Amount, len(l.GetShares())), Use: make(map[string]Use, len(l.GetUsage())),
	}
	for _, s := range l.GetShares() {
		r.Shares[s.GetWorkspace()] = Amount{MilliCPU: s.GetMilliCpu(), MemoryMB: s.GetMemoryMb(), GPUs: s.GetGpus()}
	}
	for _, u := range l.GetUsage() {
		r.Use[u.GetWorkspace()] = Use{
			Running: Amount{MilliCPU: u.GetMilliCpu(), MemoryMB: u.GetMemoryMb(), GPUs: u.GetGpus()},
			Waiting: Amount{MilliCPU: u.GetWaitingMilliCpu(), MemoryMB: u.GetWaitingMemoryMb(), GPUs: u.GetWaitingGpus()},
			Unit:    Amount{MilliCPU: u.GetUnitMilliCpu(), MemoryMB: u.GetUnitMemoryMb(), GPUs: u.GetUnitGpus()},
		}
	}
	return r
}
