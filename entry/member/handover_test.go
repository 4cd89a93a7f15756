package member_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"fescuelanding/entry/member"
)

// TestHandover follows a member that joins, releases partitions and repeats joins
// without a change. After a release, the other members must join only once this
// member has joined again and thereby reported the release to the store.
func TestHandover(t *testing.T) {
	var h member.Handover
	for _, x := range []struct {
		partitions    []int
		again, notify bool
	}{
		{[]int{1, 2, 3}, false, true},
		{[]int{1, 2, 3}, false, false},
		{[]int{1, 2}, true, false},
		{[]int{1, 2}, false, true},
		{[]int{1, 2, 4}, false, false},
		{[]int{2}, true, false},
		{nil, true, false},
		{nil, false, true},
	} {
		again, notify := h.Joined(x.partitions)
		assert.Equal(t, again, x.again, "%v", x.partitions)
		assert.Equal(t, notify, x.notify, "%v", x.partitions)
	}
}
