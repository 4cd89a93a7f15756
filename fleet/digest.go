package fleet

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"fescuelanding/fleet/record"
)

// _digestWindow is for how many of the last offsets the digest is remembered: a
// checkpoint is compared while its chunks are being appended.
const _digestWindow = 1 << 14

// The kinds of hashed objects; each hash begins with one, so that objects of
// two kinds never hash alike.
const (
	_kindHead byte = iota + 1
	_kindSection
	_kindHost
	_kindEntry
	_kindOwner
	_kindRecall
	_kindWave
)

// digest is the XOR of the hashes of all objects of a state, so that a change
// of one costs the hash of that one. The zero value is that of the empty state.
type digest struct {
	sum      uint64
	head     head
	headHash uint64
	marks    []digestMark
	buf      []byte
	host     record.HostState
}

// digestMark is the digest after the record at an offset.
type digestMark struct {
	offset uint64
	sum    uint64
}

// Digest returns the digest of the state's content. States that applied the
// same records, or were restored from a checkpoint between them, have the same.
func (s *State) Digest() uint64 { return s.digest.sum }

// DigestAt returns the digest as it was after the record at one of the last
// offsets, and whether that is still known.
func (s *State) DigestAt(offset uint64) (uint64, bool) {
	if len(s.digest.marks) == 0 || offset == 0 {
		return 0, false
	}
	m := s.digest.marks[offset%_digestWindow]
	return m.sum, m.offset == offset
}

// add takes a hash in; remove takes it out. A hash of 0 stands for no object.
func (d *digest) add(hash uint64) { d.sum ^= hash }

func (d *digest) remove(hash uint64) { d.sum ^= hash }

// xor takes in a change of the XOR of several hashes.
func (d *digest) xor(change uint64) { d.sum ^= change }

// mark remembers the digest after the record at an offset.
func (d *digest) mark(offset uint64) {
	if d.marks == nil {
		d.marks = make([]digestMark, _digestWindow)
	}
	d.marks[offset%_digestWindow] = digestMark{offset: offset, sum: d.sum}
}

// setHead takes in what belongs to no single object, where it changed.
func (d *digest) setHead(h head) {
	if h == d.head {
		return
	}
	d.remove(d.headHash)
	d.head, d.headHash = h, d.hash(_kindHead, headMessage(h))
	d.add(d.headHash)
}

// changeSections takes sections of a configuration out and others in.
func (d *digest) changeSections(out, in []*record.Section) {
	for _, s := range out {
		d.remove(d.hash(_kindSection, s))
	}
	for _, s := range in {
		d.add(d.hash(_kindSection, s))
	}
}

// hashHost returns the hash of a host. It reuses one message, as steps and
// confirmations are the most frequent records.
func (d *digest) hashHost(h Host) uint64 {
	fillHost(&d.host, h)
	return d.hash(_kindHost, &d.host)
}

// hashEntry returns the hash of an entry.
func (d *digest) hashEntry(e Entry) uint64 { return d.hash(_kindEntry, entryMessage(e)) }

// hashOwner returns the hash of an owner.
func (d *digest) hashOwner(o Owner) uint64 { return d.hash(_kindOwner, ownerMessage(o)) }

// hashRecall returns the hash of a recall.
func (d *digest) hashRecall(r recall) uint64 { return d.hash(_kindRecall, recallMessage(r)) }

// hashWave returns the hash of a wave.
func (d *digest) hashWave(w wave) uint64 { return d.hash(_kindWave, waveMessage(w)) }

// hash returns the hash of an object's kind and encoding. The messages have no
// maps and no unknown fields, so that equal ones are encoded alike.
func (d *digest) hash(kind byte, m proto.Message) uint64 {
	b, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(append(d.buf[:0], kind), m)
	if err != nil {
		// Only a string that isn't UTF-8 does this. Records were decoded by the
		// library, which refuses such strings, on every entry alike.
		return uint64(kind)
	}
	d.buf = b
	return xxhash.Sum64(b)
}
