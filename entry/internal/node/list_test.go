package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"fescuelanding/platform"
)

// TestListAfterDroppedHistory has upstreams leave while the list isn't followed: the snapshot that
// is read then replaces what was known, and an upstream with a deleted record has left.
func TestListAfterDroppedHistory(t *testing.T) {
	l := &upstreamList{node: newTestNode(t)}
	up := func(id string) platform.Record {
		return platform.Record{Key: id, Value: []byte(`{"service":"p","address":"a:1","state":"ready","capacity":{"cpu":1}}`)}
	}
	l.apply([]platform.Record{up("u1"), up("u2"), up("u3")}, true)
	assert.Equal(t, len(l.inPool("p")), 3)
	l.apply([]platform.Record{up("u3"), up("u\xff"), {Key: "u2"}}, true)
	assert.Equal(t, len(l.inPool("p")), 1)
	assert.Equal(t, l.inPool("p")[0].ID, "u3")
	l.apply([]platform.Record{{Key: "u3"}}, false)
	assert.Equal(t, len(l.inPool("p")), 0)
}
