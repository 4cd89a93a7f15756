package fleet

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"fescuelanding/fleet/record"
)

// MaxChunk is the usual limit for the data of a checkpoint chunk, in bytes.
const MaxChunk = 256 << 10

// _idsPerItem is the number of record ids that are encoded as one item of a
// chunk.
const _idsPerItem = 32

// ErrCheckpoint reports that chunks don't form one complete checkpoint.
var ErrCheckpoint = errors.New("checkpoint isn't whole")

// checkpointProgress describes the checkpoints in the log. The chunks of a
// checkpoint are accepted only in order; a later checkpoint replaces an incomplete
// one.
type checkpointProgress struct {
	at, from uint64 // Offset of the last complete checkpoint, and of its first chunk.

	// The incomplete checkpoint: offset of its state, offset of its first chunk,
	// index of its next chunk, and number of its chunks.
	pendingAt, pendingFrom     uint64
	pendingNext, pendingChunks uint32
}

// LastCheckpoint returns the offset of the state in the log's last complete
// checkpoint, and the offset of the checkpoint's first chunk. Both are 0 if there
// is none. An entry that starts without a state needs the chunks and all records
// after at.
func (s *State) LastCheckpoint() (at, from uint64) {
	return s.head.checkpoint.at, s.head.checkpoint.from
}

// applyCheckpoint records that the log has a chunk of a checkpoint, and compares its
// digest with that of this state at the same offset. The chunk is recorded even if
// the digests differ, because a replica that no longer has the digest of that offset
// records the chunk without a comparison, and all replicas must hold the same state.
func (s *State) applyCheckpoint(a *appliedRecord, c *record.Checkpoint) error {
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

// Checkpoint returns the state as chunks whose data has at most maxChunk bytes,
// except that a larger object is not split. Equal states give equal chunks.
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

// packer fills chunks with encoded items. Concatenated protobuf messages decode as
// one message whose lists are joined.
type packer struct {
	max  int
	data [][]byte
}

// add appends an item to the last chunk, or to a new one if it doesn't fit.
func (p *packer) add(m *record.Snapshot) {
	last := len(p.data) - 1
	if last < 0 || len(p.data[last])+proto.Size(m) > p.max {
		p.data = append(p.data, nil)
		last++
	}
	b, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(p.data[last], m)
	if err != nil {
		return // Not reachable: the protobuf decoder has rejected strings that aren't UTF-8.
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

// Restore returns the state that a checkpoint's chunks hold; the chunks may be in
// any order. It fails with ErrCheckpoint if a chunk is missing or belongs to
// another checkpoint, and with a *DigestMismatch if the restored state doesn't have
// the checkpoint's digest.
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
	// Replace the hosts that setConfig created in their home pools.
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
		s.digest.xor(s.ids.push(id))
	}
	s.head = headOf(m.GetHead())
	s.digest.setHead(s.head)
	return nil
}

// loadOwners stores the owners with their recorded terms. They aren't computed by
// assignOwners, which would begin new terms.
func (s *State) loadOwners(all []*record.OwnerState) {
	s.owners = make(map[string]Owner, len(all))
	for _, m := range all {
		o := ownerOf(m)
		o.hash = s.digest.hashOwner(o)
		s.digest.add(o.hash)
		s.owners[o.key] = o
	}
}

// Assembler collects the chunks of checkpoints as they are read from the log. The
// zero value is ready to use.
type Assembler struct {
	at     uint64
	digest uint64
	chunks map[uint32]*record.Checkpoint
}

// Add adds a chunk. If the chunk completes its checkpoint, Add returns all chunks of
// that checkpoint, for Restore; otherwise it returns nil. It keeps only the
// checkpoint with the highest offset and ignores chunks of earlier ones. A chunk with
// another digest for the same offset replaces the chunks collected so far.
func (a *Assembler) Add(c *record.Checkpoint) []*record.Checkpoint {
	if c.GetAtOffset() < a.at || c.GetChunks() == 0 {
		return nil
	}
	if c.GetAtOffset() > a.at || c.GetDigest() != a.digest || a.chunks == nil {
		a.at, a.digest = c.GetAtOffset(), c.GetDigest()
		a.chunks = make(map[uint32]*record.Checkpoint)
	}
	a.chunks[c.GetChunk()] = c
	if len(a.chunks) < int(c.GetChunks()) {
		return nil
	}
	return slices.Collect(maps.Values(a.chunks))
}
