package capacity

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/standin/internal/process"
)

const (
	// _tick is the unit of processor time in /proc: one clock tick of USER_HZ.
	_tick = 10 * time.Millisecond
	// _userTicks is the index of the user time among the fields that follow the
	// program's name in /proc/PID/stat. The next field is the system time.
	_userTicks = 11
)

// usage is the resource usage of a process, from /proc.
type usage struct {
	processor   time.Duration
	read, wrote int64 // bytes
	resident    int64 // KiB
}

// readUsage reads the resource usage of a process up to now.
func readUsage(b *testing.B, p *process.Process) usage {
	b.Helper()
	var u usage
	s := file(b, p, "stat")
	f := strings.Fields(s[strings.LastIndex(s, ")")+1:])
	for _, n := range f[_userTicks : _userTicks+2] {
		t, err := strconv.ParseInt(n, 10, 64)
		assert.NilError(b, err)
		u.processor += time.Duration(t) * _tick
	}
	u.read, u.wrote = field(b, p, "io", "rchar:"), field(b, p, "io", "wchar:")
	u.resident = field(b, p, "status", "VmRSS:")
	return u
}

// field returns the number that follows a key in a file of a process in /proc.
func field(b *testing.B, p *process.Process, name, key string) int64 {
	b.Helper()
	for l := range strings.Lines(file(b, p, name)) {
		if f := strings.Fields(l); len(f) > 1 && f[0] == key {
			n, err := strconv.ParseInt(f[1], 10, 64)
			assert.NilError(b, err)
			return n
		}
	}
	b.Fatalf("no field %s in /proc/PID/%s", key, name)
	return 0
}

func file(b *testing.B, p *process.Process, name string) string {
	b.Helper()
	s, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.PID(), name))
	assert.NilError(b, err)
	return string(s)
}

// measureRates measures processes for a duration. For each of processor time in
// percent of a core, bytes read and written per second, and memory, it reports the
// largest value of any process.
func measureRates(b *testing.B, l []*process.Process, over time.Duration, name string) {
	b.Helper()
	before := make([]usage, len(l))
	for i, p := range l {
		before[i] = readUsage(b, p)
	}
	time.Sleep(over)
	var most usage
	for i, p := range l {
		u := readUsage(b, p)
		most.processor = max(most.processor, u.processor-before[i].processor)
		most.read = max(most.read, u.read-before[i].read)
		most.wrote = max(most.wrote, u.wrote-before[i].wrote)
		most.resident = max(most.resident, u.resident)
	}
	s := over.Seconds()
	b.ReportMetric(100*most.processor.Seconds()/s, name+"CorePercent")
	b.ReportMetric(float64(most.read)/s, name+"ReadBytes/s")
	b.ReportMetric(float64(most.wrote)/s, name+"WrittenBytes/s")
	b.ReportMetric(float64(most.resident)/1024, name+"MiB")
}
