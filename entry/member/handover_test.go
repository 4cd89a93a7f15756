package member_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"fescuelanding/entry/member"
)

// TestHandover follows a member that joins, gives a partition up and is told nothing
// new: the others join once it has told the store.
func TestHandover(t *testing.T) {
	var h member.Handover
	for _, x := range []struct {
		partitions   []int
		again, nudge bool
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
		again, nudge := h.Joined(x.partitions)
		assert.Equal(t, again, x.again, "%v", x.partitions)
		assert.Equal(t, nudge, x.nudge, "%v", x.partitions)
	}
}
