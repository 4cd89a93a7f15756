package fleet

import (
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"fescuelanding/fleet/record"
)

// _digestWindow is the number of recent offsets whose digests are kept. A
// checkpoint's digest is compared while its chunks are being appended, when the
// log has already advanced past the checkpoint's offset.
const _digestWindow = 1 << 14

// The kinds of hashed objects. The kind is the first byte of the hashed data, so
// that objects of different kinds don't have the same hash.
const (
	_kindHead byte = iota + 1
	_kindSection
	_kindHost
	_kindEntry
	_kindOwner
	_kindRecall
	_kindWave
)

// digest is the XOR of the hashes of all objects of a state, so that a change of
// one object only needs that object's hash. The zero value belongs to the empty
// state.
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

// Digest returns the digest of the state's content. States that applied the same
// records have the same digest, also if one was restored from a checkpoint.
func (s *State) Digest() uint64 { return s.digest.sum }

// DigestAt returns the digest after the record at an offset. It reports false if
// the offset is outside the window of recent offsets.
func (s *State) DigestAt(offset uint64) (uint64, bool) {
	if len(s.digest.marks) == 0 || offset == 0 {
		return 0, false
	}
	m := s.digest.marks[offset%_digestWindow]
	return m.sum, m.offset == offset
}

// add adds an object's hash to the digest. A hash of 0 means no object.
func (d *digest) add(hash uint64) { d.sum ^= hash }

// remove removes an object's hash. It is the same operation as add, because XOR is
// its own inverse.
func (d *digest) remove(hash uint64) { d.sum ^= hash }

// xor adds or removes several hashes, given their XOR.
func (d *digest) xor(change uint64) { d.sum ^= change }

// mark stores the digest after the record at an offset.
func (d *digest) mark(offset uint64) {
	if d.marks == nil {
		d.marks = make([]digestMark, _digestWindow)
	}
	d.marks[offset%_digestWindow] = digestMark{offset: offset, sum: d.sum}
}

// setHead replaces the hash of the head if the head changed.
func (d *digest) setHead(h head) {
	if h == d.head {
		return
	}
	d.remove(d.headHash)
	d.head, d.headHash = h, d.hash(_kindHead, headMessage(h))
	d.add(d.headHash)
}

// changeSections removes the hashes of some sections and adds those of others.
func (d *digest) changeSections(out, in []*record.Section) {
	for _, s := range out {
		d.remove(d.hash(_kindSection, s))
	}
	for _, s := range in {
		d.add(d.hash(_kindSection, s))
	}
}

// hashHost returns the hash of a host. It reuses one message to save allocations,
// because steps and confirmations are the most frequent records.
func (d *digest) hashHost(h Host) uint64 {
	fillHost(&d.host, h)
	return d.hash(_kindHost, &d.host)
}

func (d *digest) hashEntry(e Entry) uint64 { return d.hash(_kindEntry, entryMessage(e)) }

func (d *digest) hashOwner(o Owner) uint64 { return d.hash(_kindOwner, ownerMessage(o)) }

func (d *digest) hashRecall(r recall) uint64 { return d.hash(_kindRecall, recallMessage(r)) }

func (d *digest) hashWave(w wave) uint64 { return d.hash(_kindWave, waveMessage(w)) }

// hash returns the hash of an object's kind and encoding. The messages have no
// maps and no unknown fields, so equal messages have equal encodings.
func (d *digest) hash(kind byte, m proto.Message) uint64 {
	b, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(append(d.buf[:0], kind), m)
	if err != nil {
		// Marshalling fails only for a string that isn't valid UTF-8. Records come
		// from the protobuf decoder, which rejects such strings on every entry.
		return uint64(kind)
	}
	d.buf = b
	return xxhash.Sum64(b)
}
