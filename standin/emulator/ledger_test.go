package emulator

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"fescuelanding/entry/link"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// TestLedger plays testdata/ledger.txt, whose cases break and keep the guarantees that
// the ledger checks. Lines are:
//
//	case NAME             a new ledger, with job J of two steps of one task
//	at MS
//	start TASK RUN HOST   a run starts
//	end TASK RUN HOW      a run ends
//	ack TASK RUN          an owner acknowledges its end
//	lose TASK RUN         its end is lost with the upstream's incarnation
//	order TASK RUN        an order ends it
//	lapse TASK RUN        its lease lapses
//	faultUntil MS         the last fault ends
//	unknown TASK          an order starts a task of no submitted job, by its full name
//	expire HOST           the lease of a host's upstream expires
//	accepted | refused | cancelled
//	fail PERCENT          job J's runs fail to that share
//	report STATE          a caller receives that state
//	longRunning COUNT MAYMISS
//	                      job J has one step of COUNT long-running tasks, of which
//	                      MAYMISS may be unavailable
//	late TASK RUN         its start was executed late
//	gone MS               a caller that first cancelled the job at that time is told that there is none
//	calm MS               the check of cancelled jobs, when the last fault has ended at that time
//	check                 the checks at the end of a history
func TestLedger(t *testing.T) {
	text, err := os.ReadFile("testdata/ledger.txt")
	assert.NilError(t, err)
	var out strings.Builder
	p := &ledgerPlayer{t: t}
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		if f[0] == "case" {
			p.begin()
		}
		p.do(f)
		fmt.Fprintln(&out, strings.TrimSpace(line))
		for _, v := range p.w.ledger.violations[p.reportedCount:] {
			fmt.Fprintf(&out, "  %v\n", v)
		}
		p.reportedCount = len(p.w.ledger.violations)
	}
	golden.Assert(t, out.String(), "ledger.golden")
}

type ledgerPlayer struct {
	t             *testing.T
	w             *World
	job           *jobRecord
	runs          map[string]*runRecord
	reportedCount int
}

func (p *ledgerPlayer) begin() {
	p.w = New(Settings{Seed: 1})
	p.w.now = time.Second
	p.job = &jobRecord{def: &work.Job{Pool: _pool, Id: "00000000000000aa", Spec: "s", Steps: []*work.Step{
		{Count: 1, MilliCpu: 500}, {Count: 1, MilliCpu: 500, After: []int32{0}},
	}}}
	p.w.ledger.jobs[p.job.def.GetId()] = p.job
	p.runs = make(map[string]*runRecord)
	p.reportedCount = 0
	for _, u := range p.w.upstreams {
		u.runs = make(map[string]*run)
		u.report.ID = u.machine
	}
}

func (p *ledgerPlayer) do(f []string) {
	l := &p.w.ledger
	switch f[0] {
	case "at":
		p.w.now = time.Duration(p.number(f[1])) * time.Millisecond
	case "start":
		name := "00000000000000aa.0." + f[1]
		p.runs[f[1]+"/"+f[2]] = l.recordStart(l.task(name, "s"), p.w.at(f[3]), p.number(f[2]), "e0")
	case "end":
		l.recordEnd(p.runs[f[1]+"/"+f[2]], platform.End(f[3]))
	case "ack", "lose":
		s := p.runs[f[1]+"/"+f[2]]
		for _, u := range p.w.upstreams {
			if u.name() == s.upstream {
				e := platform.Ended{Task: s.task.name.String(), Run: s.number}
				if f[0] == "ack" {
					l.recordAck(u, e)
				} else {
					l.recordLoss(u, e)
				}
			}
		}
	case "expire":
		p.w.at(f[1]).leaseExpired = p.w.now
	case "accepted":
		p.job.accepted, p.job.maybeAccepted = p.w.now, true
	case "refused":
		p.job.refused = true
	case "cancelled":
		p.job.cancelled, p.job.cancelRequested = p.w.now, true
	case "fail":
		p.job.failPercent = int(p.number(f[1]))
	case "report":
		p.w.checkState(p.job, link.JobState(link.JobState_value["JOB_STATE_"+strings.ToUpper(f[1])]))
	case "longRunning":
		p.job.def.Steps = []*work.Step{{
			Count: int32(p.number(f[1])), MilliCpu: 500, LongRunning: true, MayMiss: int32(p.number(f[2])),
		}}
	case "order", "lapse":
		s := p.runs[f[1]+"/"+f[2]]
		for _, u := range p.w.upstreams {
			switch {
			case u.name() != s.upstream:
			case f[0] == "order":
				l.recordStop(s, u, "a stop order")
			default:
				l.recordLapse(s, u)
			}
		}
	case "faultUntil":
		p.w.fault.lastEnd = time.Duration(p.number(f[1])) * time.Millisecond
	case "unknown":
		l.recordStart(l.task(f[1], "s"), p.w.at("m0"), 1, "e0")
	case "late":
		p.runs[f[1]+"/"+f[2]].late = true
	case "gone":
		p.job.cancelSent = time.Duration(p.number(f[1])) * time.Millisecond
		l.checkGone(p.job)
	case "calm":
		l.checkCancelled(time.Duration(p.number(f[1])) * time.Millisecond)
	case "check":
		l.checkAtEnd()
	}
}

func (p *ledgerPlayer) number(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	assert.NilError(p.t, err)
	return n
}
