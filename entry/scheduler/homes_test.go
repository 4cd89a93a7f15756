package scheduler

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"fescuelanding/entry/link"
	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// TestHomes runs the scripts of testdata/homes. A job was accepted again, and ran twice, when its submission was
// repeated after its route had come to feed another pool.
func TestHomes(t *testing.T) {
	files, err := filepath.Glob("testdata/homes/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".txt"), func(t *testing.T) {
			golden.Assert(t, runScript(t, f), strings.TrimSuffix(strings.TrimPrefix(f, "testdata/"), ".txt")+".golden")
		})
	}
}

// TestUpdateHomes checks the record of a route that feeds pool b from version 5 on.
func TestUpdateHomes(t *testing.T) {
	former := func(l ...string) []*work.FormerHome {
		var out []*work.FormerHome
		for _, p := range l {
			out = append(out, &work.FormerHome{Pool: p, Queue: "q"})
		}
		return out
	}
	q := platform.Queue{Name: "q", Host: "h", Prefix: "/q/", Pool: "b"}
	for name, c := range map[string]struct {
		record *work.Home
		pool   string
		former []string
		writes bool
	}{
		"new route":           {nil, "b", nil, true},
		"the same pool":       {&work.Home{Pool: "b", Queue: "q", Version: 3, Former: former("a")}, "b", []string{"a"}, false},
		"moved":               {&work.Home{Pool: "a", Queue: "q", Version: 3}, "b", []string{"a"}, true},
		"moved again":         {&work.Home{Pool: "c", Queue: "q", Version: 3, Former: former("a")}, "b", []string{"a", "c"}, true},
		"moved back":          {&work.Home{Pool: "a", Queue: "q", Version: 3, Former: former("b")}, "b", []string{"a"}, true},
		"renamed":             {&work.Home{Pool: "b", Queue: "former", Version: 3, Former: former("a")}, "b", []string{"a"}, true},
		"moved by later ones": {&work.Home{Pool: "c", Queue: "q", Version: 6, Former: former("a", "b")}, "c", []string{"a", "b"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			records := make(map[string]*work.Home)
			if c.record != nil {
				records[RouteKey(q)] = c.record
			}
			all, changed := UpdateHomes(records, "b", 5, []platform.Queue{q})
			h := all["h /q/"]
			assert.Equal(t, h.GetPool(), c.pool)
			var pools []string
			for _, f := range h.GetFormer() {
				pools = append(pools, f.GetPool())
			}
			assert.DeepEqual(t, pools, c.former)
			assert.Equal(t, len(changed) > 0, c.writes)
		})
	}
}

// TestLongRoutesHaveKeysOfTheirOwn checks that routes with the same beginning don't share a record, and that
// the store takes the key.
func TestLongRoutesHaveKeysOfTheirOwn(t *testing.T) {
	long := strings.Repeat("x", 300)
	a := RouteKey(platform.Queue{Host: "h", Prefix: "/" + long + "/a/"})
	b := RouteKey(platform.Queue{Host: "h", Prefix: "/" + long + "/b/"})
	assert.Assert(t, a != b)
	assert.Assert(t, len(a) <= 255)
}

// TestSettledRoutesCostNothing checks that a step costs no more with many routes that no other pool has to
// release. They were sorted in each step.
func TestSettledRoutesCostNothing(t *testing.T) {
	allocations := func(routes int) float64 {
		p := newPlayer(t)
		p.s.set.TrackHomes = true
		e := Configured{Version: 5, Pools: []string{"pool", "pool2"}}
		for i := range routes {
			e.Queues = append(e.Queues, platform.Queue{Name: fmt.Sprintf("q%d", i), Prefix: fmt.Sprintf("/%d/", i), Pool: "pool"})
		}
		all, _ := UpdateHomes(nil, "pool", 5, e.Queues)
		for _, x := range []Event{e, Loaded{Homes: all}, Listed{}} {
			p.step(x)
		}
		return testing.AllocsPerRun(100, func() { p.s.Step(p.now, Woken{}) })
	}
	assert.Equal(t, allocations(500), allocations(1))
}

// TestMovedQueueKeepsItsSettings checks that the next owner of a former pool has the settings of a queue that feeds
// another pool by now. Its jobs had no limit of attempts.
func TestMovedQueueKeepsItsSettings(t *testing.T) {
	p := newPlayer(t)
	for _, line := range []string{
		"version 5 q", "host u1", "list", "loaded", "homes q pool 5", "polled u1", "at 20", "appended",
		"submit 1 A queue=q version=5 1x1000x100~500", "at 30", "appended",
	} {
		p.do(strings.Fields(line))
	}
	p.version, p.others, p.queues = 6, p.queues, nil
	p.takeOver(true)
	assert.Equal(t, p.s.jobs["A"].queue.Attempts, 3)
}

// TestReleaseFitsMessage checks that the answers to a release fit into messages of the link, whatever
// the names of jobs and workspaces, and list each job.
func TestReleaseFitsMessage(t *testing.T) {
	for _, length := range []int{16, 250} {
		t.Run(strconv.Itoa(length), func(t *testing.T) {
			const jobs = 25_000
			s := New(Settings{Pool: "pool"})
			for i := range jobs {
				id := fmt.Sprintf("%0*d", length, i)
				s.jobs[id] = &job{def: &work.Job{Id: id, Workspace: fmt.Sprintf("w%0*d", length, i), Queue: "q", Steps: []*work.Step{{Count: 1}}}}
			}
			e, listed := ReleaseRequested{Queues: []string{"q"}}, 0
			for more := true; more; {
				a := s.heldJobs(e)
				assert.Assert(t, proto.Size(a) < link.MaxMessage, "%d bytes", proto.Size(a))
				for _, h := range a.GetHeld() {
					listed += len(h.GetJobs())
					e.After = max(e.After, slices.Max(h.GetJobs()))
				}
				more = a.GetMore()
			}
			assert.Equal(t, listed, jobs)
		})
	}
}
