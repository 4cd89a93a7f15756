package emulator

import (
	"time"

	"fescuelanding/platform"
)

// _gangTimeout is how long a member of a gang waits for the others.
const _gangTimeout = 3 * time.Second

// gang is one run of a step whose tasks must all run at the same time.
type gang struct {
	world   *World
	need    int
	members []gangMember
	// began is set once all members have started, over once any member has ended.
	began, over bool
}

type gangMember struct {
	on  *upstream
	run *run
}

// gangKey identifies a run of a step.
type gangKey struct {
	step   string
	number int64
}

// joinGang adds a member. The work begins when the last member joins, and all members
// end together.
func (w *World) joinGang(u *upstream, r *run, t *taskRecord) {
	k := gangKey{platform.StepName(t.name.Job, t.name.Occurrence, t.name.Step), r.record.number}
	g := w.gangs[k]
	if g == nil {
		g = &gang{world: w, need: int(t.def.GetCount())}
		w.gangs[k] = g
	}
	r.gang = g
	g.members = append(g.members, gangMember{u, r})
	if g.over {
		w.after(0, func() { g.end(gangMember{u, r}, platform.EndBroken) })
		return
	}
	if len(g.members) == g.need {
		g.began = true
		w.after(t.duration, func() { g.finish(r.fails) })
		return
	}
	w.after(_gangTimeout, func() {
		if !g.began {
			g.end(gangMember{u, r}, platform.EndAlone)
		}
	})
}

// finish ends all members when their work is done.
func (g *gang) finish(fails bool) {
	if g.over {
		return
	}
	how := platform.EndDone
	if fails {
		how = platform.EndFailed
	}
	g.over = true
	for _, m := range g.members {
		g.end(m, how)
	}
}

// abort ends the other members after one has ended.
func (g *gang) abort() {
	if g.over {
		return
	}
	g.over = true
	g.world.after(0, func() {
		for _, m := range g.members {
			g.end(m, platform.EndBroken)
		}
	})
}

func (g *gang) end(m gangMember, how platform.End) {
	if m.on.runs[m.run.task] == m.run {
		m.on.end(m.run, how)
	}
}
