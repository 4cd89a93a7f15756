package scheduler

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"fescuelanding/entry/link"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// FuzzLoad has an owner read a journal with any job, progress and upstream, and then be
// measured and asked for the job. Only Decode may reject them.
func FuzzLoad(f *testing.F) {
	add := func(j *work.Job, p *work.Progress, h *work.Host) {
		var all [3][]byte
		for i, m := range []proto.Message{j, p, h} {
			all[i], _ = proto.Marshal(m) // The seeds are valid.
		}
		f.Add(all[0], all[1], all[2])
	}
	step := &work.Step{Count: 2, MilliCpu: 1000, MemoryMb: 100, EstimateMs: 500}
	add(&work.Job{Id: "A", Queue: "q", Steps: []*work.Step{step}}, &work.Progress{Occurrences: []*work.Occurrence{
		{Steps: []*work.StepProgress{{Done: []byte{1}, LastRun: 2, Failures: []*work.Failure{{Task: 1, Run: 1}}}}},
	}}, &work.Host{Id: "u1", Address: "a", StartUnixMs: 5})
	add(&work.Job{Id: "A", Steps: []*work.Step{step, {Count: 1, After: []int32{0}, Gang: true}}, Occurrences: 3, IntervalMs: 10}, nil, nil)
	add(&work.Job{Id: "A"}, nil, nil)
	add(&work.Job{Id: "A", Steps: []*work.Step{{Count: -1}}}, nil, nil)
	add(&work.Job{Id: "A", Steps: []*work.Step{{Count: 1, After: []int32{7}}}}, nil, nil)
	add(&work.Job{Id: "A", Steps: []*work.Step{step}}, &work.Progress{Occurrences: []*work.Occurrence{{Number: -1}}}, nil)
	f.Fuzz(func(t *testing.T, job, progress, host []byte) {
		l, err := Decode("h", []platform.Record{
			{Key: JobKey("h", "A"), Value: job}, {Key: ProgressKey("h", "A"), Value: progress}, {Key: HostKey("h", "u1"), Value: host},
		})
		if err != nil || tooLarge(l) {
			return
		}
		play(l, StateRequested{Ref: 1, ID: "A"})
	})
}

// FuzzSubmit has an owner execute any job that CheckJob accepts.
func FuzzSubmit(f *testing.F) {
	seed, _ := proto.Marshal(&work.Job{Id: "A", Queue: "q", Steps: []*work.Step{{Count: 2, MilliCpu: 1000, LongRunning: true}}})
	f.Add(seed)
	f.Fuzz(func(t *testing.T, job []byte) {
		j := &work.Job{}
		if proto.Unmarshal(job, j) != nil || CheckJob(j) != nil || tooLarge(Loaded{Jobs: []*work.Job{j}}) {
			return
		}
		play(Loaded{}, Submitted{Ref: 1, Job: j})
	})
}

// tooLarge reports whether a job has more tasks than the platform's adapter accepts.
func tooLarge(l Loaded) bool {
	for _, j := range l.Jobs {
		n := 0
		for _, d := range j.GetSteps() {
			n += int(d.GetCount())
		}
		if n*max(1, int(j.GetOccurrences())) > 2000 {
			return true
		}
	}
	return false
}

// play runs a scheduler with one upstream for some seconds. Appends succeed, starts too.
func play(l Loaded, e Event) {
	now := time.Unix(1_000_000, 0)
	s := New(Settings{Pool: "h", Token: 7, MaxLease: 4500 * time.Millisecond, StatusRetention: time.Minute})
	events := []Event{
		Configured{Queues: []platform.Queue{{Name: "q", Pool: "h"}}},
		OwnershipConfirmed{At: now},
		Listed{Upstreams: []platform.Upstream{{ID: "u1", Address: "a", Pool: "h", StartUnixMs: 5, Capacity: platform.Capacity{MilliCPU: 32000, MemoryMB: 1000}}}},
		l,
		e,
		LoadRequested{Ref: 2, Token: 1, Sequence: 1, Vacate: []string{"u2"}, Gone: []*link.Gone{{Upstream: "u9"}}},
	}
	for range 20 {
		for _, e := range events {
			ops := s.Step(now, e)
			for i := 0; i < len(ops) && i < 1000; i++ {
				switch o := ops[i].(type) {
				case Append:
					ops = append(ops, s.Step(now, Appended{Batch: o.Batch})...)
				case Start:
					ops = append(ops, s.Step(now, Ordered{Op: o, ClockMs: 1})...)
				case Poll:
					ops = append(ops, s.Step(now, Polled{Host: o.Host, Sent: now, Result: platform.UpstreamStatus{ClockMs: 1, StartUnixMs: 5}})...)
				}
			}
		}
		events = []Event{OwnershipConfirmed{At: now}, Woken{}}
		now = now.Add(500 * time.Millisecond)
	}
}
