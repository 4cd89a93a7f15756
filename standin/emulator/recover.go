package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"fescuelanding/fleet/work"
)

const (
	// _minOutage and _maxOutage bound how long the entries are without power.
	_minOutage, _maxOutage = 500 * time.Millisecond, 3 * time.Second
	// _recoveryTime is how long after the end of the last fault entries may take until they serve again.
	_recoveryTime = 12 * time.Second
	// _recoveryJobs further jobs are submitted, one each _recoveryInterval, from the power loss on. They are
	// numbered from _firstRecoveryJob.
	_recoveryJobs     = 110
	_firstRecoveryJob = 1 << 16
	_recoveryInterval = 300 * time.Millisecond
	// _leastServed is the least share of them to be accepted after _recoveryTime, if they are so many
	// that it means something.
	_leastServed     = 0.25
	_fewRecoveryJobs = 12
	// _recoveryEstimate is their tasks' run time in milliseconds.
	_recoveryEstimate = 300
)

// powerLoss cuts the power of all entries at once at the end of a history's faults, while callers go on
// submitting jobs. Entries keep nothing, so that all state comes from the store and the upstreams.
type powerLoss struct {
	rand *rand.Rand
	// back is when the entries have power again.
	back time.Duration
	jobs []submission
}

// submission is a job with the time of its first submission.
type submission struct {
	job *jobRecord
	at  time.Duration
}

func newPowerLoss(seed uint64) *powerLoss { return &powerLoss{rand: rand.New(rand.NewPCG(seed, 9))} }

// plan draws when the power is lost, and the jobs that are submitted from then on.
func (p *powerLoss) plan(w *World) {
	if p == nil {
		return
	}
	at := w.settings.SubmitPeriod + drawBetween(p.rand, 0, time.Second)
	d := drawBetween(p.rand, _minOutage, _maxOutage)
	p.back = at + d
	w.after(at, func() {
		w.tracef("all entries lose power for %v", d)
		w.killAll(d)
	})
	for i := range _recoveryJobs {
		j := &jobRecord{def: &work.Job{
			Id: fmt.Sprintf("%016x", _firstRecoveryJob+i), Queue: w.queueOf(_pool).Name, Pool: _pool, Spec: fmt.Sprintf("job %d", _firstRecoveryJob+i),
			Steps: []*work.Step{{Count: 1, MilliCpu: 500, MemoryMb: 64, EstimateMs: _recoveryEstimate}},
		}}
		s := submission{j, at + time.Duration(i)*_recoveryInterval}
		w.ledger.jobs[j.def.GetId()] = j
		p.jobs = append(p.jobs, s)
		w.after(s.at, func() { w.submit(j, 1) })
	}
}

// check checks that entries serve again some time after the last fault, which ended at calm.
func (p *powerLoss) check(l *ledger, calm time.Duration) {
	if p == nil {
		return
	}
	since := max(p.back, calm) + _recoveryTime
	sent, served := 0, 0
	for _, s := range p.jobs {
		if s.at <= since {
			continue
		}
		sent++
		if s.job.accepted > 0 {
			served++
		}
	}
	if sent >= _fewRecoveryJobs && float64(served) < _leastServed*float64(sent) {
		l.addViolation("RECOVER", "%d of %d jobs were accepted that were submitted from %v on, %v after the entries had power again",
			served, sent, since, since-p.back)
	}
}
