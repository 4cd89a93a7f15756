package platform

import "time"

// Retention limits the records that a stream keeps; a zero field sets no limit.
type Retention struct {
	// Count is the largest number of records kept.
	Count int `json:"count"`
	// AgeMs is how long a record is kept, in milliseconds.
	AgeMs int64 `json:"ageMs"`
}

// stored is a record of a stream.
type stored struct {
	data []byte
	at   time.Time
}

// stream is an append-only sequence of records. Its zero value is empty.
type stream struct {
	dropped uint64 // number of records already expired
	records []stored
	changed chan struct{} // closed at the next append
}

// head returns the offset of the last record, or zero if there was none.
func (s *stream) head() uint64 { return s.dropped + uint64(len(s.records)) }

// first returns the offset of the earliest record kept.
func (s *stream) first() uint64 { return s.dropped + 1 }

// append adds a record, wakes blocked readers and returns the record's offset.
func (s *stream) append(data []byte, now time.Time) uint64 {
	s.records = append(s.records, stored{data: data, at: now})
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return s.head()
}

// wait returns a channel that is closed at the next append.
func (s *stream) wait() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// expire drops the records that exceed the retention.
func (s *stream) expire(r Retention, now time.Time) {
	n := 0
	if r.Count > 0 {
		n = max(0, len(s.records)-r.Count)
	}
	if r.AgeMs > 0 {
		oldest := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		for n < len(s.records) && s.records[n].at.Before(oldest) {
			n++
		}
	}
	s.records = s.records[n:]
	s.dropped += uint64(n)
}

// read returns at most limit records, from an offset up to and including head.
func (s *stream) read(from, head uint64, limit int) []readRecord {
	var l []readRecord
	for o := max(from, s.first()); o <= head && len(l) < limit; o++ {
		l = append(l, readRecord{Offset: o, Data: s.records[o-s.first()].data})
	}
	return l
}
