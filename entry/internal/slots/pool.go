package slots

import (
	"context"
	"time"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/internal/view"
	"fescuelanding/fleet"
	"fescuelanding/fleet/config"
)

const (
	_fetchTimeout = 300 * time.Millisecond
	_fetchPause   = 50 * time.Millisecond
	// _formerOwnerTimeout is how long a new broker waits for the former owner
	// to report its holds. After that it uses the copies that a witness
	// reported.
	_formerOwnerTimeout = 500 * time.Millisecond
)

// pool is a pool that this entry owns.
type pool struct {
	name   string
	term   uint64
	broker broker.Broker
	stop   context.CancelFunc
	// formerOwner is the owner before this term, if known.
	formerOwner broker.Entry
	termStart   time.Time
	// waiting maps each unanswered request to its reply channel.
	waiting map[uint64]chan<- broker.Op
	// slotByRequest and requestBySlot index the grants whose slots have not been
	// returned.
	slotByRequest map[uint64]uint64
	requestBySlot map[uint64]uint64
	// reportedHolds maps slots to all reported holds, including the copies that
	// witnesses reported for other entries.
	// missingReports contains the entries that have not reported yet.
	reportedHolds  map[uint64]broker.Hold
	missingReports map[broker.Entry]bool
	// Until releaseDeadline, a former broker may still release a key that it
	// started. deferred contains the asks that wait for such a release.
	releaseDeadline time.Time
	deferred        []ask
	// configOffset is the offset of the configuration that the broker uses.
	configOffset uint64
}

// reply answers a request if it still waits, and reports whether it did.
func (p *pool) reply(request uint64, o broker.Op) bool {
	c, ok := p.waiting[request]
	if !ok {
		return false
	}
	delete(p.waiting, request)
	c <- o
	return true
}

// removeSlot removes the grant of a slot from both indexes.
func (p *pool) removeSlot(slot uint64) {
	if r, ok := p.requestBySlot[slot]; ok {
		delete(p.slotByRequest, r)
		delete(p.requestBySlot, slot)
	}
}

// close ends the term. It answers all waiting requests with notOwner, so that
// they ask the next owner.
func (p *pool) close() {
	p.stop()
	for r := range p.waiting {
		p.reply(r, notOwner{})
	}
}

// handleView starts, updates and stops brokers according to a new view.
func (d *Dispatcher) handleView(now time.Time, v *view.View) {
	if v.Offset() < d.view.Offset() {
		return
	}
	old := d.view
	d.view = v
	if t := v.Config().Fleet().KeyWindow(); t > 0 {
		d.keyLog.journal.SetWindow(t)
	}
	for n, p := range d.pools {
		if o, ok := v.Broker(n); !ok || !d.owns(o) || o.Term() != p.term {
			p.close()
			delete(d.pools, n)
		}
	}
	for _, c := range v.Config().Pools() {
		o, ok := v.Broker(c.Name())
		if !ok || !d.owns(o) {
			continue
		}
		if p := d.pools[c.Name()]; p != nil {
			d.updateBroker(now, p, v)
			continue
		}
		d.takeOver(now, c.Name(), o, old, v)
	}
}

func (d *Dispatcher) owns(o fleet.Owner) bool {
	return o.Entry() == d.Self.Name && o.Incarnation() == d.Self.Incarnation
}

// takeOver starts a term. The broker counts every slot as taken until all
// registered entries have reported their holds.
func (d *Dispatcher) takeOver(now time.Time, name string, o fleet.Owner, old, v *view.View) {
	ctx, stop := context.WithCancel(d.ctx)
	p := &pool{
		name: name, term: o.Term(), stop: stop, termStart: now,
		waiting: map[uint64]chan<- broker.Op{}, slotByRequest: map[uint64]uint64{}, requestBySlot: map[uint64]uint64{},
		reportedHolds: map[uint64]broker.Hold{}, missingReports: map[broker.Entry]bool{},
		releaseDeadline: now.Add(_releaseTimeout),
	}
	if f, ok := old.Broker(name); ok {
		p.formerOwner = broker.Entry{Name: f.Entry(), Incarnation: f.Incarnation()}
	}
	d.pools[name] = p
	p.broker.SetKeyJournal(&d.keyLog.journal)
	d.updateBroker(now, p, v)
	t := broker.Takeover{Term: p.term, Owner: d.Self, Staleness: v.Config().Fleet().StalenessBound()}
	for _, e := range v.Entries() {
		b := broker.Entry{Name: e.Name(), Incarnation: e.Incarnation()}
		t.Expected = append(t.Expected, b)
		p.missingReports[b] = true
		go d.requestHolds(ctx, p.name, p.term, b)
	}
	d.keyLog.batcher.AddFence(name, p.term)
	d.perform(now, p, p.broker.Takeover(now, t))
	if d.Log != nil {
		d.Log.Info("Pool taken over.", "pool", name, "term", p.term)
	}
}

// requestHolds calls FetchHolds for one entry until it succeeds or the term
// ends.
func (d *Dispatcher) requestHolds(ctx context.Context, pool string, term uint64, e broker.Entry) {
	for ctx.Err() == nil {
		c, cancel := context.WithTimeout(ctx, _fetchTimeout)
		l, err := d.FetchHolds(c, e.Name, pool, term)
		cancel()
		if err == nil {
			d.postBlocking(holdsReported{pool: pool, term: term, reporter: e, holds: l})
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(_fetchPause):
		}
	}
}

// handleReport handles one entry's report and passes its holds to the broker.
func (d *Dispatcher) handleReport(now time.Time, m holdsReported) {
	p := d.pools[m.pool]
	if p == nil || p.term != m.term {
		return
	}
	var own []broker.Hold
	ended := map[broker.Entry]bool{}
	for _, h := range m.holds {
		p.reportedHolds[h.Slot] = h
		if h.Entry == m.reporter {
			own = append(own, h)
		} else if !d.registered(h.Entry) {
			ended[h.Entry] = true
		}
	}
	// A process that has ended can't report its own holds, so the copies of its
	// witnesses are used.
	for e := range ended {
		d.perform(now, p, p.broker.Report(now, e, p.witnessed(e)))
	}
	delete(p.missingReports, m.reporter)
	d.perform(now, p, p.broker.Report(now, m.reporter, own))
	d.reportFormerOwner(now, p)
}

func (d *Dispatcher) registered(b broker.Entry) bool {
	e, ok := d.view.Entry(b.Name)
	return ok && e.Incarnation() == b.Incarnation
}

// reportFormerOwner reports the witnessed holds of the former owner to the
// broker if, after the timeout, only the former owner's report is missing. The
// timeout gives a former owner that still runs the time to report, since its own
// report is newer than the copies of its witness.
func (d *Dispatcher) reportFormerOwner(now time.Time, p *pool) {
	if len(p.missingReports) != 1 || !p.missingReports[p.formerOwner] || now.Sub(p.termStart) < _formerOwnerTimeout {
		return
	}
	delete(p.missingReports, p.formerOwner)
	d.perform(now, p, p.broker.Report(now, p.formerOwner, p.witnessed(p.formerOwner)))
}

// witnessed returns the holds of an entry from the reports of all entries. For an
// entry that has not reported, these are the copies of its witnesses.
func (p *pool) witnessed(holder broker.Entry) []broker.Hold {
	var l []broker.Hold
	for _, h := range p.reportedHolds {
		if h.Entry == holder {
			l = append(l, h)
		}
	}
	return l
}

// updateBroker passes the configuration and the hosts of a view to a broker.
func (d *Dispatcher) updateBroker(now time.Time, p *pool, v *view.View) {
	if o := v.ConfigOffset(); o != p.configOffset {
		p.configOffset = o
		d.perform(now, p, p.broker.SetLimits(now, limits(v.Config(), p.name)))
	}
	var hosts []broker.Host
	for _, h := range v.Pool(p.name) {
		c, ok := v.Config().Host(h.Name())
		if !ok {
			continue
		}
		b := broker.Host{Name: h.Name(), Rack: c.Rack(), DataCentre: c.DataCentre(), Slots: c.Slots()}
		if h.Available() {
			b.State = broker.Serving
		}
		hosts = append(hosts, b)
	}
	d.perform(now, p, p.broker.SetHosts(now, hosts))
}

// limits returns the limits that the configuration sets for a pool.
func limits(c config.Config, name string) broker.Limits {
	var l broker.Limits
	if p, ok := c.Pool(name); ok {
		l.MinAvailable = p.MinAvailable()
	}
	for _, k := range c.Classes() {
		b := broker.Class{Name: k.Name(), StartWithin: k.StartWithin(), Deadline: k.Deadline(), MaxRun: k.MaxRun()}
		if k.Urgent() {
			b.Urgency = broker.Urgent
		}
		l.Classes = append(l.Classes, b)
	}
	for _, s := range c.Services() {
		if s.Pool() == name {
			l.Services = append(l.Services, broker.Service{Name: s.Name(), Class: s.Class()})
		}
	}
	for _, t := range c.Teams() {
		l.Teams = append(l.Teams, broker.Team{Name: t.Name(), Weight: t.Weight(), Quota: t.Quota()})
	}
	return l
}
