package site

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"fescuelanding/fleet/work"
	"fescuelanding/platform"
	"fescuelanding/platform/serve"
	"fescuelanding/standin/internal/process"
)

const (
	_heartbeatInterval = 300 * time.Millisecond
	// _hostCPU is the CPU of a host in thousandths of a core, unless it is set.
	_hostCPU = 8000
	// _moveTime and _upkeepTime are how long a host is down for a move and for upkeep.
	_moveTime   = 300 * time.Millisecond
	_upkeepTime = 300 * time.Millisecond
	// _maxLease is the longest lease that upstreams grant.
	_maxLease = 10 * time.Second
	// _gangTimeout is how long a member of a gang waits for the others.
	_gangTimeout = 3 * time.Second
	// _maxMissedReports is how many reports of an upstream may be missing before the
	// platform drops it from the list.
	_maxMissedReports = 3
	// _startTimeout bounds the time until an entry is ready, _stopTimeout its shutdown.
	_startTimeout = 10 * time.Second
	_stopTimeout  = 8 * time.Second
	_fileMode     = 0o600
	// _revocationTime is the time after which a withdrawn key may not be used on any entry.
	_revocationTime = 3 * time.Second
)

// submitted is a job that a caller submitted.
type submitted struct {
	*work.Job
	behaviour Behaviour
	// spec is the one that the caller sent.
	spec string
	// policy is set if starts need a ticket of the advice service.
	policy bool
	// cancelling is set once a caller has sent a request to cancel the job.
	cancelling bool
	// cancelledAt is when a caller was first told that it is cancelled, by the entry cancelledBy; zero
	// before that.
	cancelledAt time.Time
	cancelledBy string
}

// Site is an emulated platform with its entries.
type Site struct {
	// entry is the path of the entry's program, dir the directory for its files.
	entry, dir string
	// oldEntry is the path of an old build of the entry's program.
	oldEntry string
	out      io.Writer
	// morePools are the pools of the hosts beside those of every site, milliCPU is the CPU of each host.
	morePools []string
	milliCPU  int64

	store     *Store
	upstreams map[string]*Upstream
	servers   []*http.Server
	faults    faults
	// frozen are the entries that freeze has stopped, in the order of the commands.
	frozen   []string
	cloudAt  string
	adviceAt string

	mu      sync.Mutex
	entries map[string]*process.Process
	// runsOld has the entries whose next process is one of the old build.
	runsOld map[string]bool
	// boots holds the boot settings of each entry.
	boots map[string]platform.Boot
	// bootLines are further lines of all boot files.
	bootLines []string
	config    platform.Config
	// moved has the pools of the queues that were moved to another one.
	moved map[string]string
	// workspaces is nil as long as calls need no key. keys are those of each workspace, usedKey
	// the one that callers send.
	workspaces []platform.Workspace
	keys       map[string][]string
	usedKey    string
	// paths are the paths of each entry, by entry and peer.
	paths map[string]map[string]*path
	// calmAt is when entries were started last, or the store was up again.
	calmAt time.Time
	// waves holds the declared waves by number.
	waves      map[int64]*waveRecord
	moves      int
	jobs       map[string]*submitted
	tasks      map[string]*taskRecord
	gangs      map[string]*gang
	violations []string
	machines   []platform.Machine
	// former holds, by host, the rows that the list of hosts still shows.
	former map[string]*formerRows
	// orders holds, by host, the sender of the last order.
	orders map[string]platform.Holder
	// events holds the late orders and upkeeps that the heard command prints.
	events []string
	stop   chan struct{}
}

// New returns a site that runs the entry program at a path and writes files to dir. The
// output of the entries goes to out.
func New(entry, dir string, out io.Writer) *Site {
	s := &Site{
		entry: entry, dir: dir, out: out, milliCPU: _hostCPU, store: NewStore(), upstreams: make(map[string]*Upstream),
		entries: make(map[string]*process.Process), runsOld: make(map[string]bool), boots: make(map[string]platform.Boot),
		jobs: make(map[string]*submitted), tasks: make(map[string]*taskRecord),
		gangs:  make(map[string]*gang),
		moved:  make(map[string]string),
		waves:  make(map[int64]*waveRecord),
		paths:  make(map[string]map[string]*path),
		former: make(map[string]*formerRows),
		orders: make(map[string]platform.Holder), stop: make(chan struct{}),
	}
	s.store.lost = s.faults.strike
	return s
}

// SetOldEntry sets the path of an old build of the entry's program, which runs beside the other.
func (s *Site) SetOldEntry(path string) { s.oldEntry = path }

// AddHosts adds a host to each of some pools, and sets the CPU of all hosts. It is called before Start; the
// hosts are named m7, m8 and so on.
func (s *Site) AddHosts(milliCPU int64, pools ...string) {
	s.milliCPU, s.morePools = milliCPU, append(s.morePools, pools...)
}

// SetBootLines sets further lines of the boot files of entries that are started from now on.
// A line of a key that a boot file has already replaces its value.
func (s *Site) SetBootLines(lines ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bootLines = lines
}

// useOld makes the next processes of some entries run the old build, or the other again.
func (s *Site) useOld(entries []string, old bool) error {
	if s.oldEntry == "" {
		return fmt.Errorf("there is no old build: %w", ErrCommand)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range entries {
		s.runsOld[n] = old
	}
	return nil
}

// addEvent records an event for the heard command.
func (s *Site) addEvent(format string, a ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf(format, a...))
}

// listen serves a handler on a free loopback port and returns its address.
func (s *Site) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	v := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	s.servers = append(s.servers, v)
	go func() { _ = v.Serve(l) }() // It returns when Stop closes the server.
	return l.Addr().String(), nil
}

// Start starts the platform: two pools of hosts and a standby pool. Entries are started
// by StartEntry.
func (s *Site) Start() error {
	var err error
	if s.cloudAt, err = s.listen(&serve.Cloud{Machines: s.listMachines, Order: s.order}); err != nil {
		return err
	}
	// The advice service admits every step to every upstream, with a ticket.
	advice := &serve.Advice{ValidMs: 3000, Admit: func(step, u string) (string, bool) { return ticket(step, u), true }}
	if s.adviceAt, err = s.listen(advice); err != nil {
		return err
	}
	for i, pool := range append([]string{"fitting", "fitting", "fitting", "returns", "returns", "standby"}, s.morePools...) {
		if err := s.addMachine(fmt.Sprintf("m%d", i+1), pool); err != nil {
			return err
		}
	}
	s.publish()
	go s.sendHeartbeats()
	go s.judgeCancelled()
	return nil
}

// moveQueue has another pool run the jobs of a queue.
func (s *Site) moveQueue(name, pool string) {
	s.mu.Lock()
	s.moved[name] = pool
	s.mu.Unlock()
	s.publish()
}

// publish writes a new version of the configuration to the store.
func (s *Site) publish() {
	q := func(name, prefix, pool string, p int) platform.Queue {
		return platform.Queue{
			Name: name, Host: "desk.example", Prefix: prefix, Pool: pool, Timeout: 3 * time.Second,
			Target: 2 * time.Second, Stretch: 2, Priority: p, Attempts: 3,
		}
	}
	policy := q("policed", "/policed/", "returns", 0)
	policy.Advice = platform.Advice{DecideTime: 2 * time.Millisecond, TimePerUpstream: time.Millisecond, Valid: 3 * time.Second}
	s.mu.Lock()
	defer s.mu.Unlock()
	queues := []platform.Queue{q("sizes", "/sizes/", "fitting", 0), q("deposits", "/deposits/", "returns", 1), policy}
	for i := range queues {
		if p := s.moved[queues[i].Name]; p != "" {
			queues[i].Pool = p
		}
	}
	s.config = platform.Config{
		Version: s.config.Version + 3,
		Queues:  queues,
		Pools: []platform.Pool{
			{Name: "fitting", ChecksCapacity: true}, {Name: "returns", ChecksCapacity: true}, {Name: "standby", ChecksCapacity: true, Standby: true},
		},
		Limits:     platform.Limits{HeaderBytes: 16 << 10, BodyBytes: 256 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Workspaces: s.workspaces, KeysRequired: s.workspaces != nil,
	}
	s.store.Put(platform.TopicOperator, serve.Config(s.config, s.keys))
}

func (s *Site) addMachine(name, pool string) error {
	u := newUpstream(s, name)
	at, err := s.listen(u.Handler(""))
	if err != nil {
		return err
	}
	rack := "r1-" + name[1:]
	u.report = platform.Upstream{
		ID: "u-" + name, Pool: pool, Address: at, DataCentre: "muscat-a", Labels: []string{"a", rack},
		Capacity: platform.Capacity{MilliCPU: s.milliCPU, MemoryMB: 16000}, StartUnixMs: time.Now().UnixMilli(), Machine: name,
	}
	s.upstreams[name] = u
	m := platform.Machine{
		Name: name, Pool: pool, State: platform.MachineUp, DataCentre: "muscat-a", Labels: u.report.Labels,
		Capacity: u.report.Capacity, Upstream: u.report.ID,
	}
	if pool == "standby" {
		u.report.ID, m.Upstream = "", ""
	}
	s.machines = append(s.machines, m)
	return nil
}

// sendHeartbeats writes the reports of all upstreams periodically until Stop.
func (s *Site) sendHeartbeats() {
	t := time.NewTicker(_heartbeatInterval)
	defer t.Stop()
	for {
		for _, u := range s.upstreams {
			u.sendHeartbeat()
		}
		select {
		case <-s.stop:
			return
		case <-t.C:
		}
	}
}

// order executes a move, or an upkeep if wave is positive.
func (s *Site) order(h platform.Holder, machine, pool string, wave int64) serve.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.machines, func(m platform.Machine) bool { return m.Name == machine })
	if i < 0 {
		return serve.Refusal{Status: http.StatusBadRequest}
	}
	if h.Token < s.orders[machine].Token {
		return conflict(platform.ReasonFence)
	}
	if h.Token == s.orders[machine].Token && h.Name != s.orders[machine].Name {
		s.addViolation("%s and %s ordered %s with the same token %d", s.orders[machine].Name, h.Name, machine, h.Token)
	}
	s.orders[machine] = h
	m := &s.machines[i]
	if m.State != platform.MachineUp {
		return conflict(platform.ReasonBusy)
	}
	m.State = platform.MachineMoving
	to, downtime := pool, _moveTime
	s.moves++
	if wave > 0 {
		s.moves--
		s.recordUpkeep(wave, machine)
		m.State, to, downtime = platform.MachineUpkeep, m.Pool, _upkeepTime
		s.events = append(s.events, "upkeep of "+machine)
	}
	old := m.Upstream
	m.Upstream = ""
	go s.takeDown(machine, old, to, downtime)
	return serve.Refusal{}
}

// takeDown takes a host down for d and brings it back in a pool.
func (s *Site) takeDown(machine, old, pool string, d time.Duration) {
	u := s.upstreams[machine]
	u.takeDown(pool)
	if old != "" {
		s.store.Put(platform.TopicUpstreams, platform.Record{Key: old})
	}
	time.Sleep(d)
	id := ""
	if pool != "standby" {
		id = fmt.Sprintf("u-%s-%d", machine, time.Now().UnixMilli())
	}
	u.restart(id, pool)
	u.sendHeartbeat()
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.machines {
		if m := &s.machines[i]; m.Name == machine {
			m.Pool, m.State, m.Upstream = pool, platform.MachineUp, id
		}
	}
}

// Owner returns the name of the entry that holds a partition, or an empty string.
func (s *Site) Owner(partition int) string {
	at := s.store.Owners(time.Now(), "entries")[partition]
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, b := range s.boots {
		peer := netip.AddrPortFrom(b.Address, b.FirstPort).String()
		if len(at) > len(peer) && at[:len(peer)] == peer {
			return name
		}
	}
	return ""
}

// PoolOwner returns the name of the entry that owns a pool, or an empty string.
func (s *Site) PoolOwner(pool string) string {
	// A pool's position in this list is the number of its partition.
	return s.Owner(slices.Index([]string{"", "fitting", "returns"}, pool))
}

// Stop kills all entries and stops the platform.
func (s *Site) Stop() {
	for _, n := range s.entryNames() {
		s.Kill(n)
	}
	close(s.stop)
	for _, v := range s.servers {
		v.Close()
	}
}
