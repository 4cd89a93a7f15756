package site

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

const _testJob = "00000000000000a1"

// TestLedger plays orders from files against upstreams and compares the violations that the
// site finds with golden files. Each line is one of:
//
//	step COUNT mayMiss N antiAffinity N     the step of the job; its tasks work for 20 ms,
//	                                        or until they are stopped if mayMiss is positive
//	start HOST INDEX RUN LEASE              start a run with a lease of LEASE ms
//	stop HOST INDEX RUN                     stop a run
//	checkpointing MS                        the tasks report checkpoints, and work for so long
//	ask HOST INDEX RUN [SPEC [CHECKPOINT]]  order a start, which may be refused; - is no SPEC
//	resume HOST INDEX RUN                   order it with the checkpoint that the upstream listed last
//	hold HOST ACKED LEASE                   poll an upstream
//	rebirth HOST, dark HOST                 as in a session
//	startLate HOST INDEX RUN LEASE          carry out a start late
//	cancel                                  a caller cancels the job
//	cancelled STATUS                        an entry answers it so
//	wave HOSTS N                            declare a wave, at most one host of which may be down
//	upkeep HOST N HOLDER TOKEN              order the upkeep of a host
//	waved N                                 the system says that a wave is completed
//	sleep MS                                pause
func TestLedger(t *testing.T) {
	files, err := filepath.Glob("testdata/ledger/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".txt")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b, err := os.ReadFile(f)
			assert.NilError(t, err)
			s := New("", t.TempDir(), io.Discard)
			assert.NilError(t, s.Start())
			defer s.Stop()
			for line := range strings.Lines(string(b)) {
				if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
					order(t, s, line)
				}
			}
			golden.Assert(t, strings.Join(append(s.Violations(), ""), "\n"), filepath.Join("ledger", name+".golden"))
		})
	}
}

func order(t *testing.T, s *Site, line string) {
	t.Helper()
	f := strings.Fields(line)
	n := func(i int) int64 {
		v, err := strconv.ParseInt(f[i], 10, 64)
		assert.NilError(t, err, line)
		return v
	}
	switch f[0] {
	case "step":
		p := &work.Step{Count: int32(n(1)), MilliCpu: 100, MayMiss: int32(n(3)), AntiAffinity: int32(n(5)), LongRunning: n(3) > 0}
		s.jobs[_testJob] = &submitted{Job: &work.Job{Id: _testJob, Steps: []*work.Step{p}}, behaviour: Behaviour{Millis: 20}}
	case "start":
		u := s.upstreams[f[1]]
		r := u.start("", platform.Start{Task: testTask(f[2]), Run: n(3), DeadlineMs: u.clock() + n(4)})
		assert.Equal(t, r.Status, 0, line)
	case "checkpointing":
		j := s.jobs[_testJob]
		j.Steps[0].Checkpointing, j.behaviour.Millis = true, int(n(1))
	case "ask":
		u := s.upstreams[f[1]]
		o := platform.Start{Task: testTask(f[2]), Run: n(3), DeadlineMs: u.clock() + _maxLease.Milliseconds()}
		if len(f) > 4 {
			o.Spec = strings.TrimPrefix(f[4], "-")
		}
		if len(f) > 5 {
			o.Checkpoint = f[5]
		}
		u.start("e1", o)
	case "resume":
		u := s.upstreams[f[1]]
		l := u.status()
		u.stop(testTask(f[2]), n(3)-1, 0)
		u.start("e1", platform.Start{
			Task: testTask(f[2]), Run: n(3), DeadlineMs: u.clock() + _maxLease.Milliseconds(), Checkpoint: l.Running[0].Checkpoint,
		})
	case "stop":
		r := s.upstreams[f[1]].stop(testTask(f[2]), n(3), 0)
		assert.Equal(t, r.Status, 0, line)
	case "hold":
		u := s.upstreams[f[1]]
		_, r := u.hold(platform.Hold{Acked: n(2), DeadlineMs: u.clock() + n(3)})
		assert.Equal(t, r.Status, 0, line)
	case "startLate":
		u := s.upstreams[f[1]]
		r := httptest.NewRequest(http.MethodPost, "/api/run-start", nil)
		r.Header.Set("Expect-Instance", u.id())
		u.site.faults.begin(lateFault(r))
		b := fmt.Sprintf(`{"task":%q,"run":%d,"deadlineMs":%d}`, testTask(f[2]), n(3), u.clock()+n(4))
		u.startLate("e1", r, []byte(b), 0, u.beganAt())
	case "cancel":
		s.RecordCancel(_testJob)
	case "cancelled":
		s.RecordCancelAnswer(_testJob, "e1", int(n(1)))
	case "upkeep":
		s.order(platform.Holder{Name: f[3], Token: n(4)}, f[1], "", n(2))
	case "waved":
		k := platform.KeyWavePrefix + f[1]
		s.store.Put(platform.TopicStatus, platform.Record{Key: k, Value: []byte(`{"state":"completed"}`)})
	default:
		_, err := s.Do(line)
		assert.NilError(t, err, line)
	}
}

// testTask returns the name of a task of the test's job.
func testTask(index string) string { return _testJob + ".0.0." + index }

// TestLongestLease checks that an upstream shortens a lease to the longest one.
func TestLongestLease(t *testing.T) {
	u := newUpstream(New("", t.TempDir(), io.Discard), "m1")
	begin := time.Now()
	u.extendLease(u.clock() + time.Hour.Milliseconds())
	assert.Assert(t, !u.lapsed(begin.Add(_maxLease-time.Second)))
	assert.Assert(t, u.lapsed(time.Now().Add(_maxLease)))
}
