package keys_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fescuelanding/entry/keys"
)

var _epoch = time.UnixMilli(1_000_000_000)

// writer is a process that is a pool's broker and may not have learned that
// it was replaced. It reads the log at its own pace.
type writer struct {
	journal keys.Journal
	entry   string
	term    uint64
	pending []keys.Key
	ran     map[keys.Key]int
	// replaced is set once the writer has learned that it was replaced. It
	// doesn't run keys that its batches start after that, but releases them.
	replaced bool
	releases []*keys.Release
}

// read applies the next records and runs the keys that they started for this
// writer.
func (w *writer) read(log []*keys.Record, n int) {
	for range n {
		at := w.journal.Offset()
		if at == uint64(len(log)) {
			return
		}
		ss, _ := w.journal.Apply(at+1, log[at])
		for _, s := range ss {
			own := s.Entry == w.entry && s.Term == w.term
			if own && s.Verdict == keys.Started {
				w.run(s)
			}
		}
	}
}

// run grants the key, unless its request was refused in the meantime.
func (w *writer) run(s keys.StartResult) {
	k := s.Key
	if w.replaced {
		w.releases = append(w.releases, &keys.Release{Offset: s.Offset, Keys: k[:]})
		return
	}
	i := slices.Index(w.pending, k)
	if i < 0 {
		w.journal.Finish(k, keys.NotRun, nil)
		return
	}
	w.pending = slices.Delete(w.pending, i, i+1)
	w.ran[k]++
}

func (w *writer) record(ks []keys.Key) *keys.Record {
	b := &keys.Batch{Pool: "p", Term: w.term}
	for _, k := range ks {
		b.Keys = append(b.Keys, k[:]...)
	}
	return &keys.Record{AtUnixMs: _epoch.UnixMilli(), Entry: w.entry, Batches: []*keys.Batch{b}}
}

// TestKeyRunsOnce checks that a key runs at most once while brokers replace
// one another and batches are lost, repeated and read late.
func TestKeyRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []*keys.Record
		ws := []*writer{{entry: "e0", term: 1, ran: make(map[keys.Key]int)}}
		drawWriter := func() *writer { return ws[rapid.IntRange(0, len(ws)-1).Draw(t, "writer")] }
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				w, k := drawWriter(), keys.Key{byte(rapid.IntRange(1, 4).Draw(t, "key"))}
				switch {
				case w.replaced:
				case w.journal.Reuse(k):
					w.ran[k]++
				case !w.journal.Started(k) && !slices.Contains(w.pending, k):
					w.pending = append(w.pending, k)
				}
			},
			"append": func(t *rapid.T) {
				w := drawWriter()
				log = append(log, w.record(w.pending))
				// The append's reply is lost, so the same batch is appended
				// again.
				if rapid.Bool().Draw(t, "again") {
					log = append(log, w.record(w.pending))
				}
			},
			"refuse": func(*rapid.T) { drawWriter().pending = nil },
			"learnReplaced": func(*rapid.T) {
				w := drawWriter()
				w.replaced, w.pending = true, nil
			},
			// The releases stay in the list, so that they are also appended
			// late and repeatedly.
			"release": func(*rapid.T) {
				w := drawWriter()
				log = append(log, &keys.Record{AtUnixMs: _epoch.UnixMilli(), Entry: w.entry, Releases: w.releases})
			},
			"takeover": func(*rapid.T) {
				w := &writer{entry: "e" + string(rune('0'+len(ws)%3)), term: uint64(len(ws) + 1), ran: make(map[keys.Key]int)}
				log = append(log, &keys.Record{AtUnixMs: _epoch.UnixMilli(), Fences: []*keys.Fence{{Pool: "p", Term: w.term}}})
				w.read(log, len(log))
				ws = append(ws, w)
			},
			"read": func(t *rapid.T) { drawWriter().read(log, rapid.IntRange(1, 5).Draw(t, "records")) },
			"": func(t *rapid.T) {
				for k := range byte(5) {
					n := 0
					for _, w := range ws {
						n += w.ran[keys.Key{k}]
					}
					if n > 1 {
						t.Fatalf("key %d ran %d times", k, n)
					}
				}
			},
		})
	})
}

func batch(term uint64, at time.Time, ks ...keys.Key) *keys.Record {
	w := writer{entry: "e1", term: term}
	r := w.record(ks)
	r.AtUnixMs = at.UnixMilli()
	return r
}

func TestBatchAfterFenceIsVoid(t *testing.T) {
	var j keys.Journal
	_, err := j.Apply(1, &keys.Record{Fences: []*keys.Fence{{Pool: "p", Term: 7}}})
	assert.NilError(t, err)
	assert.Assert(t, j.Fenced("p", 7))
	ss, err := j.Apply(2, batch(6, _epoch, keys.Key{1}))
	assert.NilError(t, err)
	assert.Equal(t, ss[0].Verdict, keys.Void)
	assert.Assert(t, !j.Started(keys.Key{1}))
}

// TestReleaseRemovesOwnStartOnly checks that a repeated release doesn't
// remove a later start of the key by another broker.
func TestReleaseRemovesOwnStartOnly(t *testing.T) {
	var j keys.Journal
	k := keys.Key{1}
	applyNext := func(r *keys.Record) {
		_, err := j.Apply(j.Offset()+1, r)
		assert.NilError(t, err)
	}
	applyNext(batch(1, _epoch, k))
	release := &keys.Record{Releases: []*keys.Release{{Offset: 1, Keys: k[:]}}}
	applyNext(release)
	assert.Assert(t, !j.Started(k))
	applyNext(batch(2, _epoch, k))
	applyNext(release)
	assert.Assert(t, j.Started(k), "a late release removed the start by another broker")
}

func TestOffsetAppliesOnce(t *testing.T) {
	var j keys.Journal
	ss, err := j.Apply(5, batch(1, _epoch, keys.Key{1}))
	assert.NilError(t, err)
	assert.Equal(t, len(ss), 1)
	for _, offset := range []uint64{5, 4} {
		ss, err = j.Apply(offset, batch(1, _epoch, keys.Key{2}))
		assert.NilError(t, err)
		assert.Equal(t, len(ss), 0)
	}
	assert.Assert(t, !j.Started(keys.Key{2}))
}

func TestMalformedBatchIsIgnored(t *testing.T) {
	var j keys.Journal
	r := batch(1, _epoch, keys.Key{1})
	r.Batches[0].Keys = r.Batches[0].Keys[:keys.Size-1]
	_, err := j.Apply(1, r)
	var bad *keys.BadKeysError
	assert.Assert(t, errors.As(err, &bad))
	assert.Equal(t, j.Len(), 0)
}

func TestKeysExpireAfterWindow(t *testing.T) {
	var j keys.Journal
	j.SetWindow(time.Hour)
	first, late := keys.Key{1}, keys.Key{2}
	_, err := j.Apply(1, batch(1, _epoch, first))
	assert.NilError(t, err)
	// A key must not expire early if its writer's clock is a day behind.
	_, err = j.Apply(2, batch(1, _epoch.Add(30*time.Minute)))
	assert.NilError(t, err)
	_, err = j.Apply(3, batch(1, _epoch.Add(-24*time.Hour), late))
	assert.NilError(t, err)
	j.Expire(_epoch.Add(time.Hour))
	assert.Assert(t, j.Started(first))
	j.Expire(_epoch.Add(70 * time.Minute))
	assert.Assert(t, !j.Started(first))
	assert.Assert(t, j.Started(late))
	j.Expire(_epoch.Add(3 * time.Hour))
	assert.Equal(t, j.Len(), 0)
}

func TestAnswersAreBounded(t *testing.T) {
	var j keys.Journal
	j.SetAnswerBytes(1000)
	j.Finish(keys.Key{1}, keys.Answered, make([]byte, 400))
	j.Finish(keys.Key{2}, keys.Answered, make([]byte, 400))
	o, _ := j.Outcome(keys.Key{1})
	assert.Equal(t, o, keys.Unknown)
	o, body := j.Outcome(keys.Key{2})
	assert.Equal(t, o, keys.Answered)
	assert.Equal(t, len(body), 400)
	// An answer that is too large to be stored must not evict others.
	j.Finish(keys.Key{3}, keys.Answered, make([]byte, 2000))
	o, _ = j.Outcome(keys.Key{3})
	assert.Equal(t, o, keys.Unknown)
	o, _ = j.Outcome(keys.Key{2})
	assert.Equal(t, o, keys.Answered)
}

func TestBatcherBoundsAppends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var (
			b       keys.Batcher
			now     = _epoch
			flushes []time.Time
			added   int
			written int
		)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 3).Draw(t, "keys") {
				added++
				b.Add(keys.Pending{Pool: "p", Key: keys.Key{byte(added)}})
			}
			if r := b.Flush(now); r != nil {
				flushes = append(flushes, now)
				written += len(r.Batches[0].Keys) / keys.Size
			}
		}
		for i := 20; i < len(flushes); i++ {
			if d := flushes[i].Sub(flushes[i-20]); d < time.Second {
				t.Fatalf("21 appends within %v", d)
			}
		}
		if n := b.Next(); !n.IsZero() {
			if n.Sub(now) > 50*time.Millisecond {
				t.Fatalf("key waits for %v, want 50 ms at most", n.Sub(now))
			}
			written += len(b.Flush(n).Batches[0].Keys) / keys.Size
		}
		if written != added {
			t.Fatalf("%d keys added, %d written", added, written)
		}
	})
}

func TestFirstKeyAfterIdleTimeIsDueAtOnce(t *testing.T) {
	var b keys.Batcher
	assert.Assert(t, b.Next().IsZero())
	b.Add(keys.Pending{Pool: "p", Term: 1, Key: keys.Key{1}})
	b.AddFence("p", 1)
	r := b.Flush(_epoch)
	assert.Equal(t, len(r.Fences), 1)
	assert.Equal(t, len(r.Batches), 1)
	b.Add(keys.Pending{Pool: "p", Term: 1, Key: keys.Key{2}})
	b.Add(keys.Pending{Pool: "q", Term: 1, Key: keys.Key{3}})
	assert.Assert(t, b.Flush(_epoch.Add(10*time.Millisecond)) == nil)
	assert.Equal(t, len(b.Flush(_epoch.Add(50*time.Millisecond)).Batches), 2)
}

// BenchmarkJournal measures the time to start a key, and the memory per
// stored key.
func BenchmarkJournal(b *testing.B) {
	for _, n := range []int{100_000, 400_000, 1_600_000} {
		b.Run(fmt.Sprintf("keys=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var j keys.Journal
			for i := range n {
				var k keys.Key
				binary.LittleEndian.PutUint64(k[:], uint64(i)+1)
				_, _ = j.Apply(uint64(i+1), batch(1, _epoch, k))
			}
			b.ReportMetric(float64(b.Elapsed())/float64(n), "ns/key")
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/key")
			runtime.KeepAlive(&j)
		})
	}
}

func TestAllOmitsIncompleteKey(t *testing.T) {
	a, b := keys.Key{1}, keys.Key{2}
	l := slices.Concat(a[:], b[:])
	assert.DeepEqual(t, slices.Collect(keys.All(l)), []keys.Key{a, b})
	assert.DeepEqual(t, slices.Collect(keys.All(l[:len(l)-1])), []keys.Key{a})
}
