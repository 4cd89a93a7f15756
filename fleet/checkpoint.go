package fleet

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"fescuelanding/fleet/record"
)

// MaxChunk is the customary size of a checkpoint chunk's data, in bytes.
const MaxChunk = 256 << 10

// _idsPerItem is how many ids go into a chunk at once.
const _idsPerItem = 32

// ErrCheckpoint is the error of chunks that don't make a whole checkpoint.
var ErrCheckpoint = errors.New("checkpoint isn't whole")

// checkpointProgress is what the log has of checkpoints. Chunks count only in
// their order; a later checkpoint takes the place of one that isn't whole.
type checkpointProgress struct {
	at, from uint64 // The last whole one, and the offset of its first chunk.

	pendingAt, pendingFrom     uint64
	pendingNext, pendingChunks uint32
}

// Checkpointed returns the offset that the log's last whole checkpoint stands
// for, and the offset of its first chunk; zeros where there is none. A fresh
// entry needs the chunks and all records after at.
func (s *State) LastCheckpoint() (at, from uint64) {
	return s.head.checkpoint.at, s.head.checkpoint.from
}

// checkpointed notes a chunk of a checkpoint in the log, and compares its digest
// with that of this state at the same offset. The chunk counts either way, so
// that a state that can't compare stays equal to one that can.
func (s *State) checkpointed(a *action, c *record.Checkpoint) error {
	if c.GetAtOffset() == 0 || c.GetAtOffset() >= a.offset || c.GetChunk() >= c.GetChunks() {
		return reject(ReasonMalformed, "chunk %d of %d at offset %d", c.GetChunk(), c.GetChunks(), c.GetAtOffset())
	}
	p, r := s.head.checkpoint.next(a.offset, c)
	if r != nil {
		return r
	}
	s.head.checkpoint = p
	if own, ok := s.DigestAt(c.GetAtOffset()); ok && own != c.GetDigest() {
		return &DigestMismatch{offset: c.GetAtOffset(), own: own, other: c.GetDigest()}
	}
	return nil
}

// next returns the progress after a chunk.
func (p checkpointProgress) next(offset uint64, c *record.Checkpoint) (checkpointProgress, *Rejection) {
	if c.GetAtOffset() <= p.at || c.GetAtOffset() < p.pendingAt {
		return p, reject(ReasonStaleBasis, "a later checkpoint is in the log")
	}
	if c.GetAtOffset() > p.pendingAt && c.GetChunk() == 0 {
		p.pendingAt, p.pendingFrom = c.GetAtOffset(), offset
		p.pendingNext, p.pendingChunks = 0, c.GetChunks()
	}
	if c.GetAtOffset() != p.pendingAt || c.GetChunk() != p.pendingNext || c.GetChunks() != p.pendingChunks {
		return p, reject(ReasonWrongState, "chunk %d of %d isn't the next", c.GetChunk(), c.GetChunks())
	}
	p.pendingNext++
	if p.pendingNext == p.pendingChunks {
		return checkpointProgress{at: p.pendingAt, from: p.pendingFrom}, nil
	}
	return p, nil
}

// Checkpoint returns the state in chunks whose data has at most maxChunk bytes,
// but for a single object that is larger. The same state gives the same chunks.
func (s *State) Checkpoint(maxChunk int) []*record.Checkpoint {
	p := packer{max: maxChunk}
	p.add(&record.Snapshot{Head: headMessage(s.head)})
	for _, c := range s.config.Sections() {
		p.add(&record.Snapshot{Sections: []*record.Section{c}})
	}
	for _, n := range s.names {
		p.add(&record.Snapshot{Hosts: []*record.HostState{hostMessage(s.hosts[n])}})
	}
	for _, n := range s.entryNames() {
		p.add(&record.Snapshot{Entries: []*record.EntryState{entryMessage(s.entries[n])}})
	}
	for _, k := range slices.Sorted(maps.Keys(s.owners)) {
		p.add(&record.Snapshot{Owners: []*record.OwnerState{ownerMessage(s.owners[k])}})
	}
	for _, k := range slices.Sorted(maps.Keys(s.recalls)) {
		p.add(&record.Snapshot{Recalls: []*record.RecallState{recallMessage(s.recalls[k])}})
	}
	for _, k := range slices.Sorted(maps.Keys(s.waves)) {
		p.add(&record.Snapshot{Waves: []*record.WaveState{waveMessage(s.waves[k])}})
	}
	for ids := range slices.Chunk(s.ids.all(), _idsPerItem) {
		p.add(&record.Snapshot{Ids: ids})
	}
	return p.chunks(s.offset, s.digest.sum)
}

// packer fills chunks with encoded items. Protobuf messages that follow each
// other decode as one, with the lists joined.
type packer struct {
	max  int
	data [][]byte
}

// add puts an item into the last chunk, or into a new one where it doesn't fit.
func (p *packer) add(m *record.Snapshot) {
	last := len(p.data) - 1
	if last < 0 || len(p.data[last])+proto.Size(m) > p.max {
		p.data = append(p.data, nil)
		last++
	}
	b, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(p.data[last], m)
	if err != nil {
		return // As in digest.hash: not reachable with decoded records.
	}
	p.data[last] = b
}

// chunks returns the finished chunks.
func (p *packer) chunks(offset, digest uint64) []*record.Checkpoint {
	all := make([]*record.Checkpoint, 0, len(p.data))
	for i, d := range p.data {
		all = append(all, &record.Checkpoint{
			AtOffset: offset,
			Chunk:    uint32(i),
			Chunks:   uint32(len(p.data)),
			Digest:   digest,
			Data:     d,
		})
	}
	return all
}

// Restore returns the state that a checkpoint's chunks hold, in whatever order
// they come. It fails with ErrCheckpoint where one is missing or doesn't belong
// to the others, and with a *DigestMismatch where the content isn't what was
// written.
func Restore(chunks []*record.Checkpoint) (*State, error) {
	m, err := join(chunks)
	if err != nil {
		return nil, fmt.Errorf("join chunks: %w", err)
	}
	s := &State{offset: chunks[0].GetAtOffset()}
	if err := s.load(m); err != nil {
		return nil, fmt.Errorf("load checkpoint at offset %d: %w", s.offset, err)
	}
	if want := chunks[0].GetDigest(); want != s.digest.sum {
		return nil, &DigestMismatch{offset: s.offset, own: s.digest.sum, other: want}
	}
	s.digest.mark(s.offset)
	return s, nil
}

// join decodes chunks into one message.
func join(chunks []*record.Checkpoint) (*record.Snapshot, error) {
	if len(chunks) == 0 {
		return nil, ErrCheckpoint
	}
	first := chunks[0]
	data := make([][]byte, first.GetChunks())
	for _, c := range chunks {
		if c.GetAtOffset() != first.GetAtOffset() || c.GetDigest() != first.GetDigest() || c.GetChunks() != first.GetChunks() {
			return nil, fmt.Errorf("chunks of two checkpoints: %w", ErrCheckpoint)
		}
		if c.GetChunk() >= c.GetChunks() {
			return nil, fmt.Errorf("chunk %d of %d: %w", c.GetChunk(), c.GetChunks(), ErrCheckpoint)
		}
		data[c.GetChunk()] = c.GetData()
	}
	m := new(record.Snapshot)
	for i, d := range data {
		if len(d) == 0 {
			return nil, fmt.Errorf("chunk %d of %d is missing: %w", i, len(data), ErrCheckpoint)
		}
		if err := (proto.UnmarshalOptions{Merge: true}).Unmarshal(d, m); err != nil {
			return nil, fmt.Errorf("decode chunk %d: %w", i, err)
		}
	}
	return m, nil
}

// load fills an empty state.
func (s *State) load(m *record.Snapshot) error {
	c, err := s.config.With(&record.ConfigChange{Set: m.GetSections()})
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	s.setConfig(c, s.offset, 0)
	for _, h := range m.GetHosts() {
		s.putHost(hostOf(h))
	}
	for _, e := range m.GetEntries() {
		s.putEntry(entryOf(e))
	}
	for _, r := range m.GetRecalls() {
		s.putRecall(recallOf(r))
	}
	for _, w := range m.GetWaves() {
		s.putWave(waveOf(w))
	}
	s.loadOwners(m.GetOwners())
	for _, id := range m.GetIds() {
		s.digest.flip(s.ids.push(id))
	}
	s.head = headOf(m.GetHead())
	s.digest.setHead(s.head)
	return nil
}

// loadOwners takes the owners in with the terms that they had.
func (s *State) loadOwners(all []*record.OwnerState) {
	s.owners = make(map[string]Owner, len(all))
	for _, m := range all {
		o := ownerOf(m)
		o.hash = s.digest.hashOwner(o)
		s.digest.add(o.hash)
		s.owners[o.key] = o
	}
}

// Assembler gathers the chunks of checkpoints as they are read from the log.
// The zero value is empty.
type Assembler struct {
	at     uint64
	digest uint64
	chunks map[uint32]*record.Checkpoint
}

// Add takes a chunk in and returns its checkpoint's chunks when all are there,
// for Restore; nil before that. It keeps only the latest checkpoint begun.
func (m *Assembler) Add(c *record.Checkpoint) []*record.Checkpoint {
	if c.GetAtOffset() < m.at || c.GetChunks() == 0 {
		return nil
	}
	if c.GetAtOffset() > m.at || c.GetDigest() != m.digest || m.chunks == nil {
		m.at, m.digest = c.GetAtOffset(), c.GetDigest()
		m.chunks = make(map[uint32]*record.Checkpoint)
	}
	m.chunks[c.GetChunk()] = c
	if len(m.chunks) < int(c.GetChunks()) {
		return nil
	}
	return slices.Collect(maps.Values(m.chunks))
}
