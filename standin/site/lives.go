package site

import (
	"maps"
	"slices"
	"time"

	"fescuelanding/platform"
)

// setDown makes the upstream unreachable. Waiting polls end without an answer.
func (u *Upstream) setDown() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.site.faults.begin("dark " + u.machine)
	u.down = true
	close(u.wake)
	u.wake = make(chan struct{})
}

// restart ends all runs and begins a new incarnation under an ID in a pool.
func (u *Upstream) restart(id, pool string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.lockedRestart(id, pool)
}

// takeDown ends all runs for a move or upkeep of the host.
func (u *Upstream) takeDown(pool string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.endFinishedRuns()
	for _, n := range slices.Sorted(maps.Keys(u.runs)) {
		u.site.recordOrder(n, u.down)
		u.crash(u.runs[n])
	}
	u.lockedRestart("", pool)
}

// crash ends a run that nothing is reported of.
func (u *Upstream) crash(r *running) {
	delete(u.runs, r.task)
	u.site.recordEnd(&endRecord{Ended: platform.Ended{Task: r.task, Run: r.run, End: "crashed"}, upstream: u})
}

func (u *Upstream) lockedRestart(id, pool string) {
	u.site.voidEnds(u.ended)
	for _, r := range u.runs {
		u.crash(r)
	}
	u.runs, u.highestFinished, u.ended = make(map[string]*running), make(map[string]int64), nil
	u.token, u.lastEndNumber, u.deadline, u.report.Sequence = 0, 0, 0, 0
	u.began, u.clockBegan, u.down, u.crashed = time.Now(), 0, false, false
	u.site.faults.end("dark " + u.machine)
	u.site.faults.end("crash " + u.machine)
	u.lapse.Store(nil)
	u.report.ID, u.report.Pool, u.report.StartUnixMs = id, pool, time.Now().UnixMilli()
	close(u.wake)
	u.wake = make(chan struct{})
}
