package fleet

import (
	"cmp"
	"slices"

	"fescuelanding/fleet/record"
)

// _maxOpenCampaigns limits the open recalls and, separately, the open waves.
const _maxOpenCampaigns = 128

// Progress counts the hosts of a recall or wave by how far they are.
type Progress struct {
	total int
	out   int
	done  int
}

// Total returns the number of hosts that the recall or wave covers.
func (p Progress) Total() int { return p.total }

// Out returns how many of them were drained for the recall or wave, have not
// returned to duty, and are not done yet.
func (p Progress) Out() int { return p.out }

// Done returns how many of them are done.
func (p Progress) Done() int { return p.done }

// count adds a host.
func (p *Progress) count(done, out bool) {
	p.total++
	switch {
	case done:
		p.done++
	case out:
		p.out++
	}
}

// Recall is the recall of every host with parts of a batch. It is an immutable
// copy.
type Recall struct {
	recall
	progress Progress
}

// Progress returns the progress of the recall. A host is done when its part was
// replaced.
func (r Recall) Progress() Progress { return r.progress }

// recall is the stored part of a Recall.
type recall struct {
	name   string
	batch  string
	offset uint64
	hash   uint64
}

// Name returns the recall's name.
func (r recall) Name() string { return r.name }

// Batch returns the batch whose parts are to be replaced.
func (r recall) Batch() string { return r.batch }

// Offset returns the offset at which the recall started. It is also the recall's
// basis.
func (r recall) Offset() uint64 { return r.offset }

// Wave is the maintenance of every host of some pools. It is an immutable copy.
type Wave struct {
	wave
	progress Progress
}

// Progress returns the progress of the wave. A host is done when its maintenance
// ended after the wave started.
func (w Wave) Progress() Progress { return w.progress }

// wave is the stored part of a Wave.
type wave struct {
	name   string
	pools  []string
	offset uint64
	hash   uint64
}

// Name returns the wave's name.
func (w wave) Name() string { return w.name }

// Pools returns the pools whose hosts are maintained; an empty list means all
// pools.
func (w wave) Pools() []string { return slices.Clone(w.pools) }

// Offset returns the offset at which the wave started. It is also the wave's basis.
func (w wave) Offset() uint64 { return w.offset }

// covers reports whether the hosts of a pool belong to the wave.
func (w wave) covers(pool string) bool { return len(w.pools) == 0 || slices.Contains(w.pools, pool) }

// Recalls returns the open recalls in the order in which they started.
func (s *State) Recalls() []Recall {
	all := make([]Recall, 0, len(s.recalls))
	for _, r := range s.recalls {
		all = append(all, Recall{recall: r, progress: s.recallProgress(r)})
	}
	slices.SortFunc(all, func(a, b Recall) int { return cmp.Compare(a.offset, b.offset) })
	return all
}

// Waves returns the open waves in the order in which they started.
func (s *State) Waves() []Wave {
	all := make([]Wave, 0, len(s.waves))
	for _, w := range s.waves {
		all = append(all, Wave{wave: w, progress: s.waveProgress(w)})
	}
	slices.SortFunc(all, func(a, b Wave) int { return cmp.Compare(a.offset, b.offset) })
	return all
}

func (s *State) recallProgress(r recall) Progress {
	var p Progress
	for _, c := range s.config.Hosts() {
		if c.Batch() != r.batch {
			continue
		}
		h := s.hosts[c.Name()]
		p.count(h.repairedBatch == r.batch, h.duty != Serving && h.causeID == r.name)
	}
	return p
}

func (s *State) waveProgress(w wave) Progress {
	var p Progress
	for _, h := range s.hosts {
		if w.covers(h.pool) {
			p.count(h.maintainedOffset > w.offset, h.duty != Serving && h.causeID == w.name)
		}
	}
	return p
}

func (s *State) startRecall(a *appliedRecord, m *record.RecallStart) *Rejection {
	if m.GetRecall() == "" || m.GetBatch() == "" {
		return reject(ReasonMalformed, "recall and batch are needed")
	}
	if r := a.checkBasis(s.recallBasis(m.GetRecall())); r != nil {
		return r
	}
	if _, ok := s.recalls[m.GetRecall()]; ok {
		return reject(ReasonWrongState, "recall %s is open", m.GetRecall())
	}
	if len(s.recalls) >= _maxOpenCampaigns {
		return reject(ReasonTooMany, "%d recalls are open", len(s.recalls))
	}
	s.putRecall(recall{name: m.GetRecall(), batch: m.GetBatch(), offset: a.offset})
	return nil
}

// cancelRecall closes a recall, whether or not all its hosts are done.
func (s *State) cancelRecall(a *appliedRecord, m *record.RecallCancel) *Rejection {
	r, ok := s.recalls[m.GetRecall()]
	if !ok {
		return reject(ReasonUnknownRecall, "recall %s", m.GetRecall())
	}
	if r := a.checkBasis(r.offset); r != nil {
		return r
	}
	s.digest.remove(r.hash)
	delete(s.recalls, r.name)
	s.head.lastRecallRemoval = a.offset
	return nil
}

func (s *State) startWave(a *appliedRecord, m *record.WaveStart) *Rejection {
	if m.GetWave() == "" {
		return reject(ReasonMalformed, "a wave is needed")
	}
	if r := a.checkBasis(s.waveBasis(m.GetWave())); r != nil {
		return r
	}
	if _, ok := s.waves[m.GetWave()]; ok {
		return reject(ReasonWrongState, "wave %s is open", m.GetWave())
	}
	if len(s.waves) >= _maxOpenCampaigns {
		return reject(ReasonTooMany, "%d waves are open", len(s.waves))
	}
	for _, p := range m.GetPools() {
		if _, ok := s.config.Pool(p); !ok {
			return reject(ReasonUnknownPool, "pool %s", p)
		}
	}
	s.putWave(wave{name: m.GetWave(), pools: slices.Clone(m.GetPools()), offset: a.offset})
	return nil
}

// cancelWave closes a wave, whether or not all its hosts are done.
func (s *State) cancelWave(a *appliedRecord, m *record.WaveCancel) *Rejection {
	w, ok := s.waves[m.GetWave()]
	if !ok {
		return reject(ReasonUnknownWave, "wave %s", m.GetWave())
	}
	if r := a.checkBasis(w.offset); r != nil {
		return r
	}
	s.digest.remove(w.hash)
	delete(s.waves, w.name)
	s.head.lastWaveRemoval = a.offset
	return nil
}

// putRecall stores a recall and updates the digest.
func (s *State) putRecall(r recall) {
	if s.recalls == nil {
		s.recalls = make(map[string]recall)
	}
	r.hash = s.digest.hashRecall(r)
	s.digest.add(r.hash)
	s.recalls[r.name] = r
}

// putWave stores a wave and updates the digest.
func (s *State) putWave(w wave) {
	if s.waves == nil {
		s.waves = make(map[string]wave)
	}
	w.hash = s.digest.hashWave(w)
	s.digest.add(w.hash)
	s.waves[w.name] = w
}

// recallBasis returns the basis for a record about a recall. For an open recall,
// this is the offset of its start; otherwise it is the offset at which any recall
// was last cancelled, so that a delayed start doesn't reopen a cancelled recall.
func (s *State) recallBasis(name string) uint64 {
	if r, ok := s.recalls[name]; ok {
		return r.offset
	}
	return s.head.lastRecallRemoval
}

// waveBasis returns the basis for a record about a wave. For an open wave, this is
// the offset of its start; otherwise it is the offset at which any wave was last
// cancelled, so that a delayed start doesn't reopen a cancelled wave.
func (s *State) waveBasis(name string) uint64 {
	if w, ok := s.waves[name]; ok {
		return w.offset
	}
	return s.head.lastWaveRemoval
}
