package scheduler

import (
	"strings"
	"testing"
	"unsafe"

	"gotest.tools/v3/assert"

	"fescuelanding/fleet/work"
)

// TestCheckpointLeavesAnswer checks that a checkpoint doesn't keep the answer in memory that it came with. It
// stays as long as the job's state is kept.
func TestCheckpointLeavesAnswer(t *testing.T) {
	answer := strings.Repeat("x", 1000) + "c7"
	c := answer[1000:]
	j := &job{def: &work.Job{Id: "0000000000000001", Steps: []*work.Step{{Count: 2, Checkpointing: true, Gang: true}}}}
	st := newOccurrence(j, 0).steps[0]
	s := New(Settings{Pool: "p", Token: 1})
	s.saveCheckpoint(&st.tasks[0], c)
	for i := range st.tasks {
		assert.Equal(t, st.tasks[i].checkpoint, "c7")
		assert.Assert(t, unsafe.StringData(st.tasks[i].checkpoint) != unsafe.StringData(c))
	}
}
