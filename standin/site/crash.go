package site

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"fescuelanding/platform"
)

// errSilent ends a call without an answer whose connection stays open.
var errSilent = errors.New("no answer")

// formerRows are the rows of a host that the list of hosts still shows, the oldest first.
type formerRows struct {
	lag  time.Duration
	rows []formerRow
}

type formerRow struct {
	machine platform.Machine
	until   time.Time
}

// crash ends the incarnation of a host that is up. The list of hosts shows the crash, and the next
// incarnation, only after a lag.
func (s *Site) crash(machine string, lag time.Duration) {
	if !s.changeRow(machine, lag, platform.MachineUp, platform.MachineDown, "") {
		return
	}
	u := s.upstreams[machine]
	u.mu.Lock()
	defer u.mu.Unlock()
	s.faults.begin("crash " + machine)
	s.voidEnds(u.ended)
	for _, r := range u.runs {
		u.crash(r)
	}
	u.ended, u.deadline, u.down, u.crashed = nil, 0, true, true
	u.lapse.Store(nil)
	close(u.wake)
	u.wake = make(chan struct{})
}

// rebirth begins the next incarnation of a host under its ID. The clock begins at zero, and the report is
// sent at once, unless the clock is given as its difference from the former one's.
func (s *Site) rebirth(machine string, clock *time.Duration) {
	u := s.upstreams[machine]
	u.mu.Lock()
	c := int64(0)
	if clock != nil {
		c = max(0, u.now()+clock.Milliseconds())
	}
	u.lockedRestart(u.report.ID, u.report.Pool)
	u.clockBegan = c
	id := u.report.ID
	u.mu.Unlock()
	s.faults.strike()
	if f := s.lag(machine); f >= 0 {
		s.changeRow(machine, f, platform.MachineDown, platform.MachineUp, id)
	}
	if clock == nil {
		u.sendHeartbeat()
	}
}

// lag returns how late the list shows the host's last crash, or -1 if it never crashed.
func (s *Site) lag(machine string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.former[machine]; f != nil {
		return f.lag
	}
	return -1
}

// changeRow changes the row of a host that is in a state. It reports whether the host was. The list shows the
// former row until the lag has passed.
func (s *Site) changeRow(machine string, lag time.Duration, from, to platform.MachineState, upstream string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.machines, func(m platform.Machine) bool { return m.Name == machine })
	if i < 0 || s.machines[i].State != from || from == platform.MachineUp && s.machines[i].Upstream == "" {
		return false
	}
	f := s.former[machine]
	if f == nil {
		f = &formerRows{}
		s.former[machine] = f
	}
	f.lag = lag
	f.rows = append(f.rows, formerRow{s.machines[i], time.Now().Add(lag)})
	s.machines[i].State, s.machines[i].Upstream = to, upstream
	return true
}

// listMachines returns the rows of all hosts as the list shows them.
func (s *Site) listMachines() []platform.Machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, now := slices.Clone(s.machines), time.Now()
	for i := range l {
		f := s.former[l[i].Name]
		if f == nil {
			continue
		}
		f.rows = slices.DeleteFunc(f.rows, func(r formerRow) bool { return !r.until.After(now) })
		if len(f.rows) > 0 {
			l[i] = f.rows[0].machine
		}
	}
	return l
}

// keepSilent, deferred, keeps the connection of a call that ended with errSilent open until its caller
// closes it. A host that crashes closes no connections.
func keepSilent(r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	if v == any(errSilent) {
		_, _ = io.Copy(io.Discard, r.Body) // The end of the connection is noticed after that.
		<-r.Context().Done()
		v = http.ErrAbortHandler
	}
	panic(v)
}

// abort ends a call to an incarnation that is unreachable or has ended.
func abort(crashed bool) {
	if crashed {
		panic(errSilent)
	}
	panic(http.ErrAbortHandler)
}
