package admission

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestReplay plays loads of testdata on a pool, by today's rule (first come, first served) and
// by shares, and prints how many of each workspace's jobs were served on time. A load file has
//
//	pool RATE                      work that the pool completes per second
//	slack MS                       how long a job may wait and be on time
//	acceptLate                     by shares, late jobs wait behind those on time
//	down FROM TO                   in which the store refuses everybody, in milliseconds
//	workspace NAME WEIGHT          and, for the same load without workspaces, none of them
//	jobs NAME FROM TO every MS work N
//	expect NAME SHARE              least share of on-time jobs by shares
func TestReplay(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".txt")
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			former, l := play(t, f, false), play(t, f, true)
			for _, n := range l.names() {
				a, b := former.of[n], l.of[n]
				fmt.Fprintf(&out, "%s: %d jobs, on time %d -> %d, late %d -> %d, never %d -> %d\n",
					n, b.jobs, a.onTime, b.onTime, a.late, b.late, a.never(), b.never())
			}
			fmt.Fprintf(&out, "tries for each served job: %.2f -> %.2f; refused more than twice: %d -> %d; most returns in 100 ms: %d -> %d\n",
				former.tries(), l.tries(), former.oftenRefused, l.oftenRefused, former.mostReturns(), l.mostReturns())
			total := func(l *load) (n int) {
				for _, s := range l.of {
					n += s.onTime
				}
				return n
			}
			fmt.Fprintf(&out, "all on time: %d -> %d\n", total(former), total(l))
			golden.Assert(t, out.String(), name+".golden")
			for n, least := range l.expect {
				got := float64(l.of[n].onTime) / float64(l.of[n].jobs)
				assert.Assert(t, got >= least, "%s: %.2f of its jobs were on time", n, got)
			}
		})
	}
}

// load is a load that is played in steps of _tick. The pool is a fluid: what waits is served
// in order at the pool's rate.
type load struct {
	rate         float64
	slack        time.Duration
	acceptLate   bool
	down         [2]time.Duration
	of           map[string]*served
	expect       map[string]float64
	calls        []call
	waiting      []*call
	oftenRefused int
	attempts     int
	returns      map[time.Duration]int
	shares       Shares
	places       Places
}

const _tick = 10 * time.Millisecond

// _retries is how often a caller of the replays comes back, and _patience after what time
// since his first attempt he gives up.
const (
	_retries  = 4
	_patience = 6 * time.Second
)

type served struct{ jobs, onTime, late int }

func (s *served) never() int { return s.jobs - s.onTime - s.late }

type call struct {
	id, workspace string
	first, at     time.Duration
	work          float64
	tries         int
	surplus, late bool
}

func (l *load) names() []string {
	var names []string
	for n := range l.of {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

func (l *load) tries() float64 {
	n := 0
	for _, s := range l.of {
		n += s.onTime + s.late
	}
	return float64(l.attempts) / float64(max(1, n))
}

func (l *load) mostReturns() int {
	most := 0
	for _, n := range l.returns {
		most = max(most, n)
	}
	return most
}

func play(t *testing.T, file string, shared bool) *load {
	l := read(t, file)
	if !shared {
		l.shares = Shares{}
	}
	epoch := time.Unix(1_000_000, 0)
	for now := time.Duration(0); now < time.Minute; now += _tick {
		l.serve(now)
		slices.SortStableFunc(l.calls, func(a, b call) int { return int(a.at - b.at) })
		for len(l.calls) > 0 && l.calls[0].at <= now {
			c := l.calls[0]
			l.calls = l.calls[1:]
			l.submit(epoch.Add(now), now, c, shared)
		}
	}
	return l
}

// submit decides on a call: by first come, first served, or by shares and places.
func (l *load) submit(at time.Time, now time.Duration, c call, shared bool) {
	l.attempts++
	c.tries++
	if c.tries == 1 {
		c.surplus = !l.shares.Entitle(at, c.workspace, c.work)
	} else {
		l.returns[now/(100*time.Millisecond)]++
	}
	since := now - c.first
	retry := 2 * time.Second // by the former rule all callers hear the same
	wait := l.wait(at, c, shared)
	switch down := now >= l.down[0] && now < l.down[1]; {
	case down:
		if shared {
			retry = l.places.Assign(at, l.caller(at, now, c), 2*time.Second, l.rate)
		}
	case since+wait <= l.slack:
		l.accept(&c)
		return
	case wait == 0 && since <= 3*l.slack:
		l.accept(&c)
		return
	case shared:
		c.late = true
		wait = l.wait(at, c, true)
		if l.acceptLate && !c.surplus && since+wait <= 3*l.slack {
			l.accept(&c)
			return
		}
		c.late = false
		retry = l.places.Assign(at, l.caller(at, now, c), wait, l.rate)
	default:
		retry = max(time.Second, (wait-l.slack).Truncate(time.Second)+time.Second)
	}
	if c.tries == 3 {
		l.oftenRefused++
	}
	if c.tries > _retries || since+retry > _patience {
		return
	}
	c.at = now + retry
	l.calls = append(l.calls, c)
}

func (l *load) caller(at time.Time, now time.Duration, c call) Caller {
	v := StandingOf(c.surplus, now-c.first+2*time.Second > l.slack)
	return Caller{Job: c.id, First: at.Add(c.first - now), Standing: v, Work: c.work}
}

func (l *load) accept(c *call) {
	l.places.Leave(c.id)
	l.waiting = append(l.waiting, c)
}

func (l *load) wait(at time.Time, c call, shared bool) time.Duration {
	var b Backlog
	ahead := 0.0
	for _, x := range l.waiting {
		b.Add(StandingOf(x.surplus, x.late), x.workspace, x.work)
		ahead += x.work
	}
	if shared {
		v := StandingOf(c.surplus, c.late)
		if l.shares.Active() {
			ahead = l.shares.Ahead(at, &b, v, c.workspace, c.work, l.rate)
		}
		ahead += l.places.Kept(at, Caller{Job: c.id, First: at, Standing: v})
	}
	return time.Duration(ahead / l.rate * float64(time.Second))
}

// serve completes a tick's work, of the highest standing, by turns of the workspaces, of the
// earliest attempt.
func (l *load) serve(now time.Duration) {
	slices.SortStableFunc(l.waiting, func(a, b *call) int {
		if x, y := StandingOf(a.surplus, a.late), StandingOf(b.surplus, b.late); x != y {
			return int(x) - int(y)
		}
		return int(a.first - b.first)
	})
	l.takeTurns()
	room := l.rate * _tick.Seconds()
	for len(l.waiting) > 0 && room > 0 {
		c := l.waiting[0]
		w := min(room, c.work)
		room -= w
		l.shares.Start(c.workspace, w)
		if c.work -= w; c.work > 0 {
			break
		}
		l.waiting = l.waiting[1:]
		switch took := now - c.first; {
		case took <= l.slack+_tick:
			l.of[c.workspace].onTime++
		case took <= 3*l.slack+_tick:
			l.of[c.workspace].late++
		}
	}
}

// takeTurns orders the waiting calls of each standing.
func (l *load) takeTurns() {
	if !l.shares.Active() {
		return
	}
	var order []*call
	for v := range Standing(_standings) {
		var of []*call
		var waiting []Candidate
		for _, c := range l.waiting {
			if StandingOf(c.surplus, c.late) == v {
				of = append(of, c)
				waiting = append(waiting, Candidate{c.workspace, c.work})
			}
		}
		for _, i := range l.shares.Order(waiting) {
			order = append(order, of[i])
		}
	}
	l.waiting = order
}

func read(t *testing.T, file string) *load {
	l := &load{of: map[string]*served{}, expect: map[string]float64{}, returns: map[time.Duration]int{}}
	f, err := os.Open(file)
	assert.NilError(t, err)
	defer func() { assert.NilError(t, f.Close()) }()
	number := func(s string) float64 {
		v, err := strconv.ParseFloat(s, 64)
		assert.NilError(t, err, file)
		return v
	}
	ms := func(s string) time.Duration { return time.Duration(number(s) * float64(time.Millisecond)) }
	var spaces []Workspace
	for sc := bufio.NewScanner(f); sc.Scan(); {
		line, _, _ := strings.Cut(sc.Text(), "#")
		w := strings.Fields(line)
		if len(w) == 0 {
			continue
		}
		switch w[0] {
		case "pool":
			l.rate = number(w[1])
		case "slack":
			l.slack = ms(w[1])
		case "acceptLate":
			l.acceptLate = true
		case "down":
			l.down = [2]time.Duration{ms(w[1]), ms(w[2])}
		case "workspace":
			spaces = append(spaces, Workspace{w[1], number(w[2])})
		case "expect":
			l.expect[w[1]] = number(w[2])
		case "jobs":
			l.add(w[1], ms(w[2]), ms(w[3]), ms(w[5]), number(w[7]))
		default:
			t.Fatalf("%s: unknown line %q", file, line)
		}
	}
	l.shares.Configure(time.Unix(1_000_000, 0), spaces)
	return l
}

// add adds the calls of a workspace in a period.
func (l *load) add(name string, from, to, every time.Duration, work float64) {
	if l.of[name] == nil {
		l.of[name] = &served{}
	}
	for at := from; at < to; at += every {
		id := fmt.Sprintf("%s-%d", name, len(l.calls))
		l.of[name].jobs++
		l.calls = append(l.calls, call{id: id, workspace: name, first: at, at: at, work: work})
	}
}
