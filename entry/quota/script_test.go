package quota

import (
	"bufio"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"fescuelanding/platform"
)

// TestScripts runs the scripts of testdata: a giver, and a holder for each pool. The golden
// file holds the shares after each round.
//
//	at MS                        set the time
//	workspace NAME [cpu=N] [memory=N] [gpu=N]    a limit; without any, none
//	pools NAME ...               replace the pools
//	run POOL WORKSPACE CPU COUNT    count runs, or their ends if COUNT is negative
//	wait POOL WORKSPACE CPU COUNT   set the tasks that wait, all of one size
//	unknown POOL WORKSPACE CPU      set what former owners may have running
//	round [lost=POOL,...] [unheard=POOL,...]    an exchange with all pools; the answers of
//	                             some are lost, or the calls
//	owner POOL                   replace a pool's owner; its runs stay
//	planner                      replace the giver
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".txt")
		t.Run(name, func(t *testing.T) {
			golden.Assert(t, runScript(t, f), name+".golden")
		})
	}
}

// runScript returns the output of a script.
func runScript(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	p := &player{t: t, now: _startTime, holders: make(map[string]*Holder), waiting: make(map[string]map[string]Use), workspaces: make(map[string]Amount)}
	sc := bufio.NewScanner(strings.NewReader(string(text)))
	for sc.Scan() {
		line, _, _ := strings.Cut(sc.Text(), "#")
		if f := strings.Fields(line); len(f) > 0 {
			fmt.Fprintf(&p.out, "> %s\n", strings.TrimSpace(line))
			p.do(f)
		}
	}
	return p.out.String()
}

var _startTime = time.Unix(1_000_000, 0)

// player drives a giver and holders from a script.
type player struct {
	t          *testing.T
	now        time.Time
	out        strings.Builder
	giver      Giver
	workspaces map[string]Amount
	pools      []string
	holders    map[string]*Holder
	waiting    map[string]map[string]Use
	owners     int64
}

func (p *player) number(s string) int64 {
	n, err := strconv.ParseInt(s, 10, 64)
	assert.NilError(p.t, err)
	return n
}

func (p *player) do(f []string) {
	switch f[0] {
	case "at":
		p.now = _startTime.Add(time.Duration(p.number(f[1])) * time.Millisecond)
	case "workspace":
		p.workspaces[f[1]] = p.amount(f[2:])
		p.configure()
	case "pools":
		p.pools = f[1:]
		for _, n := range p.pools {
			if p.holders[n] == nil {
				p.owners++
				h := NewHolder(p.owners)
				p.holders[n], p.waiting[n] = &h, make(map[string]Use)
			}
		}
		p.configure()
	case "run":
		p.holders[f[1]].Count(f[2], Amount{MilliCPU: p.number(f[3])}, p.number(f[4]))
	case "wait":
		each, n := Amount{MilliCPU: p.number(f[3])}, p.number(f[4])
		p.waiting[f[1]][f[2]] = Use{Waiting: Scale(each, n), Unit: each}
	case "unknown":
		p.holders[f[1]].SetUnknown(map[string]Amount{f[2]: {MilliCPU: p.number(f[3])}})
	case "round":
		p.round(f[1:])
	case "owner":
		p.owners++
		h := NewHolder(p.owners)
		h.running = p.holders[f[1]].running
		p.holders[f[1]] = &h
		p.configure()
	case "planner":
		p.giver = Giver{}
		p.configure()
	default:
		p.t.Fatalf("unknown line: %v", f)
	}
}

func (p *player) amount(f []string) Amount {
	var a Amount
	for _, x := range f {
		switch k, v, _ := strings.Cut(x, "="); k {
		case "cpu":
			a.MilliCPU = p.number(v)
		case "memory":
			a.MemoryMB = p.number(v)
		case "gpu":
			a.GPUs = p.number(v)
		}
	}
	return a
}

func (p *player) configure() {
	var l []platform.Workspace
	for _, w := range slices.Sorted(maps.Keys(p.workspaces)) {
		l = append(l, platform.Workspace{Name: w, Limit: p.workspaces[w]})
	}
	p.giver.Configure(p.now, l, p.pools)
	for _, h := range p.holders {
		h.Configure(l)
	}
}

// round exchanges grants and reports with all pools, and prints what they hold.
func (p *player) round(f []string) {
	lost := func(kind, pool string) bool {
		return slices.ContainsFunc(f, func(x string) bool {
			k, v, _ := strings.Cut(x, "=")
			return k == kind && slices.Contains(strings.Split(v, ","), pool)
		})
	}
	p.giver.Divide()
	for _, n := range p.pools {
		g, h := p.giver.Grant(n), p.holders[n]
		if lost("unheard", n) {
			p.giver.Unanswered(n)
			continue
		}
		h.Apply(p.now, g)
		r := h.Report(p.now)
		for w, u := range p.waiting[n] {
			r.Use[w] = Use{h.Running(w), u.Waiting, u.Unit}
		}
		if lost("lost", n) {
			p.giver.Unanswered(n)
			continue
		}
		p.giver.Reported(p.now, n, r)
	}
	p.giver.Divide()
	for _, n := range p.pools {
		p.print(n)
	}
	if p.giver.Pressing() {
		fmt.Fprintln(&p.out, "  pressing")
	}
}

func (p *player) print(pool string) {
	h := p.holders[pool]
	for _, w := range slices.Sorted(maps.Keys(p.workspaces)) {
		if !h.Limited(w) {
			fmt.Fprintf(&p.out, "  %s %s unlimited\n", pool, w)
			continue
		}
		s := h.Share(p.now, w)
		fmt.Fprintf(&p.out, "  %s %s running=%s share=%s reach=%s\n", pool, w, text(h.Running(w)), text(s.Amount), text(s.Reach))
	}
}

// text returns an amount as CPU, memory and GPUs.
func text(a Amount) string {
	var f []string
	for _, x := range dimensions(&a) {
		if *x >= Unlimited {
			f = append(f, "-")
		} else {
			f = append(f, strconv.FormatInt(*x, 10))
		}
	}
	return strings.Join(f, "/")
}
