package node

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/entry/access"
	"fescuelanding/entry/internal/logging"
	"fescuelanding/entry/link"
	"fescuelanding/platform"
)

// config returns the record of a configuration whose workspaces each have a key.
func config(version, keys string) platform.Record {
	return platform.Record{Key: platform.KeyConfig, Value: []byte(
		`{"version":` + version + `,"routes":[{"name":"q","service":"p"}],"services":[{"name":"p"}],"tenants":[` + keys + `]}`)}
}

func newTestNode(t *testing.T) *Node {
	t.Helper()
	n := New(platform.Boot{Bounds: platform.Bounds{StrictRevocation: true, RevocationTime: 5 * time.Second}}, logging.New(io.Discard, "entry"))
	// No pools are started.
	n.closing.Store(true)
	return n
}

// TestOwnerChecksKeyAgain passes calls that were admitted under version 3 to an owner's entry.
func TestOwnerChecksKeyAgain(t *testing.T) {
	n, now := newTestNode(t), time.Now()
	q := platform.Queue{Name: "q", Pool: "p"}
	k := platform.HashKey("k1")
	n.applyRecord(config("3", `{"name":"shops","apiKeys":["k1"]}`))
	n.confirmConfig(now)
	d, c := n.authorize(now, q, k, true)
	assert.Equal(t, d, access.Decision{Workspace: "shops"})
	call := &link.Call{Pool: "p", Credential: c}
	assert.Assert(t, n.recheck(call) == nil)

	n.applyRecord(config("4", `{"name":"shops","apiKeys":["k2"]},{"name":"agents","apiKeys":["k1"]}`))
	assert.Equal(t, n.recheck(call).GetOutcome(), link.Outcome_OUTCOME_UNAVAILABLE)
	n.applyRecord(config("5", `{"name":"shops","apiKeys":["k2"]}`))
	assert.Equal(t, n.recheck(call).GetOutcome(), link.Outcome_OUTCOME_DENIED)

	// An owner with an older version leaves the decision to the caller's entry.
	call.Credential.Version = 9
	assert.Assert(t, n.recheck(call) == nil)
	// Calls without a key aren't checked.
	assert.Assert(t, n.recheck(&link.Call{Pool: "p"}) == nil)
}

// TestWithdrawnKeyPassesLink has an entry that is behind pass a call with a withdrawn key to the entry of the owner.
func TestWithdrawnKeyPassesLink(t *testing.T) {
	behind, owner, now := newTestNode(t), newTestNode(t), time.Now()
	behind.applyRecord(config("3", `{"name":"shops","apiKeys":["k1"]}`))
	behind.confirmConfig(now)
	owner.applyRecord(config("4", `{"name":"shops","apiKeys":["k2"]}`))
	_, c := behind.authorize(now, platform.Queue{Name: "q", Pool: "p"}, platform.HashKey("k1"), true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	s := &link.Server{Handle: func(_ context.Context, q *link.Call) *link.Answer {
		if a := owner.recheck(q); a != nil {
			return a
		}
		return &link.Answer{Outcome: link.Outcome_OUTCOME_OK}
	}}
	go func() { _ = s.Serve(t.Context(), l) }() // It ends with the listener.
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	a, err := behind.link.Call(ctx, l.Addr().String(), &link.Call{Pool: "p", Credential: c})
	assert.NilError(t, err)
	assert.Equal(t, a.GetOutcome(), link.Outcome_OUTCOME_DENIED)
}

// TestWithdrawnKeyStaysWithdrawn applies an older configuration after a newer one, as a reader
// of a recreated topic might, and one that can't be read.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	n, now := newTestNode(t), time.Now()
	q, k := platform.Queue{Name: "q", Pool: "p"}, platform.HashKey("k1")
	n.applyRecord(config("7", `{"name":"shops","apiKeys":["k2"]}`))
	n.applyRecord(config("6", `{"name":"shops","apiKeys":["k1","k2"]}`))
	n.confirmConfig(now)
	d, _ := n.authorize(now, q, k, true)
	assert.Equal(t, d.Verdict, access.Denied)

	n.applyRecord(platform.Record{Key: platform.KeyConfig, Value: []byte(`{"version":8,"tenants":7}`)})
	later := now.Add(5 * time.Second)
	n.confirmConfig(later)
	d, _ = n.authorize(later, q, platform.HashKey("k2"), true)
	assert.Equal(t, d.Verdict, access.Unconfirmed)
	n.applyRecord(config("9", `{"name":"shops","apiKeys":["k2"]}`))
	n.confirmConfig(later)
	d, _ = n.authorize(later, q, platform.HashKey("k2"), true)
	assert.Equal(t, d.Verdict, access.Admitted)
}
