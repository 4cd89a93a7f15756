package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"fescuelanding/entry/broker"
	"fescuelanding/entry/internal/hold"
	"fescuelanding/entry/internal/remote"
	"fescuelanding/entry/internal/settings"
	"fescuelanding/entry/internal/viewtest"
	"fescuelanding/entry/peer"
)

const _settingsText = `
[entry]
name = %s
dataCentre = dc1
[listen]
caller = 127.0.0.1:1
peer = 127.0.0.1:2
admin = 127.0.0.1:3
[platform]
url = http://127.0.0.1:4
`

// TestTakeoverTellsTheWitnessFirst has a new broker hold a slot that another
// broker granted: before it counts its own report, its witness knows the slot.
func TestTakeoverTellsTheWitnessFirst(t *testing.T) {
	var f viewtest.Fleet
	f.Configure(t, viewtest.Small)
	f.Register(t, "a", 1)
	f.Register(t, "b", 1)
	o, ok := f.View().Broker("fitting")
	assert.Assert(t, ok)
	s, err := settings.Parse("entry.ini", fmt.Appendf(nil, _settingsText, o.Entry()))
	assert.NilError(t, err)
	d := New(s, log.New(io.Discard))
	d.self.Incarnation = o.Incarnation()
	d.table = hold.New(d.self, time.Now())
	d.table.SetView(f.View())
	d.table.SetFreshUntil(time.Now().Add(time.Minute))

	witness := hold.New(broker.Entry{Name: o.Witness(), Incarnation: 1}, time.Now())
	connect(t, d, o.Witness(), witness)
	h := broker.Hold{Slot: 7, Host: "h1", Entry: d.self, Term: o.Term(), Until: time.Now().Add(time.Minute)}
	assert.NilError(t, d.table.Admit(time.Now(), "fitting", h))

	const later = 100 // The term of this entry's own ownership.
	l, err := d.fetchHolds(t.Context(), d.self.Name, "fitting", o.Term()+later)
	assert.NilError(t, err)
	assert.Equal(t, len(l), 1)
	known, ok := witness.Report(time.Now(), "fitting", hold.Broker{Entry: "c", Term: o.Term() + 2*later})
	assert.Assert(t, ok)
	assert.Equal(t, len(known), 1, "the witness doesn't know the slot")
	assert.Equal(t, known[0].Slot, h.Slot)
}

// connect serves another entry's table and connects the daemon with it.
func connect(t *testing.T, d *Daemon, name string, table *hold.Table) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	other := peer.New(peer.Identity{Entry: name, Incarnation: 1})
	server := &remote.Server{Table: table}
	other.Handle = server.Handle
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	own, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	done := make(chan error, 2)
	go func() { done <- other.Serve(ctx, l) }()
	go func() { done <- d.peers.Serve(ctx, own) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
		assert.NilError(t, <-done)
	})
	d.peers.SetPeers([]peer.Peer{{Entry: name, Address: l.Addr().String()}})
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if p := d.peers.Peers(); len(p) > 0 && p[0].Connected() {
			return
		}
		assert.Assert(t, time.Now().Before(end), "not connected")
	}
}
