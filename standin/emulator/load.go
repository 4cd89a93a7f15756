package emulator

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"fescuelanding/fleet/work"
)

// Load is a load to be replayed: pools with their hosts, jobs with the times at which
// callers submit them, and faults.
type Load struct {
	pools   []loadPool
	standby int
	// orders is how many orders for hosts the cloud interface accepts per second.
	orders float64
	jobs   []loadJob
	faults []loadFault
	bounds []Bound
}

// Bound is a bound that a load's file sets for a figure of its result, summed over some
// seeds.
type Bound struct {
	figure string
	value  int
	most   bool
}

// Met reports whether figures of a result are within the bound.
func (b Bound) Met(figures map[string]int) bool {
	n, ok := figures[b.figure]
	if b.most {
		return ok && n <= b.value
	}
	return ok && n >= b.value
}

// String returns the bound as it stands in the file.
func (b Bound) String() string {
	if b.most {
		return fmt.Sprintf("atMost %s %d", b.figure, b.value)
	}
	return fmt.Sprintf("atLeast %s %d", b.figure, b.value)
}

// loadPool is a pool and the settings of its queue.
type loadPool struct {
	name    string
	hosts   int
	cpu     int64
	stretch float64
	target  time.Duration
}

// loadJob is a job that is submitted at a time after the start of the load.
type loadJob struct {
	at    time.Duration
	pool  string
	steps []*work.Step
	// runTimes are the mean run times of the tasks, by step.
	runTimes []time.Duration
}

// loadFault is a fault that lasts from one time to another.
type loadFault struct {
	kind     string
	from, to time.Duration
	// share is the part of the calls or hosts that are affected, from zero to one.
	share float64
}

// Bounds returns the bounds that the file sets.
func (l *Load) Bounds() []Bound { return l.bounds }

// ParseLoad reads a load. Each line is one of these; a line that begins with '#' and an
// empty one are ignored:
//
//	pool NAME hosts N cpu MILLICORES stretch F target MS
//	standby N                          hosts in the standby pool
//	orders N                           orders for hosts that are accepted per second
//	fault KIND from MS to MS share F   lateCalls, storeDown, crash, wave
//	atLeast FIGURE N, atMost FIGURE N  bounds for a figure that Result.Figures names
//	job MS POOL STEP ...               each step after the one before
//	    STEP: COUNTxMILLICORES~RUNMS/ESTIMATEMS[,longRunning][,spread]
//
// The steps of a job run one after the other; the estimate is what its caller declares.
// A step with spread runs at most one task on a host, and at most one of its tasks may
// be unavailable.
func ParseLoad(r io.Reader) (*Load, error) {
	l := &Load{}
	sc := bufio.NewScanner(r)
	for n := 1; sc.Scan(); n++ {
		f := strings.Fields(sc.Text())
		if len(f) == 0 || strings.HasPrefix(f[0], "#") {
			continue
		}
		p := &fieldParser{fields: f[1:]}
		switch f[0] {
		case "pool":
			l.pools = append(l.pools, loadPool{
				name: p.word(), hosts: p.named("hosts"), cpu: int64(p.named("cpu")),
				stretch: p.namedFloat("stretch"), target: p.namedMs("target"),
			})
		case "standby":
			l.standby = p.int()
		case "orders":
			l.orders = p.float()
		case "fault":
			l.faults = append(l.faults, loadFault{
				kind: p.word(), from: p.namedMs("from"), to: p.namedMs("to"), share: p.namedFloat("share"),
			})
		case "atLeast", "atMost":
			l.bounds = append(l.bounds, Bound{figure: p.word(), value: p.int(), most: f[0] == "atMost"})
		case "job":
			l.jobs = append(l.jobs, p.job())
		default:
			p.fail("unknown kind of line %q", f[0])
		}
		if p.err != nil {
			return nil, fmt.Errorf("load, line %d: %w", n, p.err)
		}
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("read load: %w", err)
	}
	if len(l.pools) == 0 {
		return nil, errors.New("load has no pool")
	}
	return l, nil
}

// fieldParser parses the fields of a line in turn. It keeps the first error.
type fieldParser struct {
	fields []string
	err    error
}

func (p *fieldParser) fail(format string, a ...any) {
	if p.err == nil {
		p.err = fmt.Errorf(format, a...)
	}
}

func (p *fieldParser) word() string {
	if len(p.fields) == 0 {
		p.fail("a field is missing")
		return ""
	}
	w := p.fields[0]
	p.fields = p.fields[1:]
	return w
}

func (p *fieldParser) float() float64 { return p.number(p.word()) }

func (p *fieldParser) number(w string) float64 {
	v, err := strconv.ParseFloat(w, 64)
	if err != nil {
		p.fail("%q isn't a number", w)
	}
	return v
}

func (p *fieldParser) int() int { return int(p.float()) }

// namedFloat parses a name and its value.
func (p *fieldParser) namedFloat(name string) float64 {
	if w := p.word(); w != name {
		p.fail("%q stands in place of %q", w, name)
	}
	return p.float()
}

func (p *fieldParser) named(name string) int { return int(p.namedFloat(name)) }

func (p *fieldParser) namedMs(name string) time.Duration {
	return time.Duration(p.namedFloat(name)) * time.Millisecond
}

func (p *fieldParser) job() loadJob {
	j := loadJob{at: time.Duration(p.float()) * time.Millisecond, pool: p.word()}
	for len(p.fields) > 0 && p.err == nil {
		p.step(&j, p.word())
	}
	return j
}

// step parses a step and appends it to a job.
func (p *fieldParser) step(j *loadJob, text string) {
	size, flags, _ := strings.Cut(text, ",")
	count, rest, ok1 := strings.Cut(size, "x")
	cpu, rest, ok2 := strings.Cut(rest, "~")
	took, estimate, ok3 := strings.Cut(rest, "/")
	if !ok1 || !ok2 || !ok3 {
		p.fail("%q isn't COUNTxMILLICORES~RUNMS/ESTIMATEMS", text)
		return
	}
	d := &work.Step{
		Count: int32(p.number(count)), MilliCpu: int64(p.number(cpu)), MemoryMb: 64, EstimateMs: int64(p.number(estimate)),
	}
	if n := len(j.steps); n > 0 {
		d.After = []int32{int32(n - 1)}
	}
	for _, f := range strings.Split(flags, ",") {
		switch f {
		case "":
		case "longRunning":
			d.LongRunning = true
		case "spread":
			d.AntiAffinity, d.MayMiss = 1, 1
		default:
			p.fail("unknown flag %q", f)
		}
	}
	j.steps = append(j.steps, d)
	j.runTimes = append(j.runTimes, time.Duration(p.number(took))*time.Millisecond)
}
