package intake

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// stub is a connection from an address. Its other methods aren't called.
type stub struct {
	net.Conn
	address netip.Addr
}

func (s stub) RemoteAddr() net.Addr           { return net.TCPAddrFromAddrPort(netip.AddrPortFrom(s.address, 1)) }
func (stub) SetReadDeadline(time.Time) error  { return nil }
func (stub) SetWriteDeadline(time.Time) error { return nil }

// stand plays the steps of a script on a budget.
type stand struct {
	budget   *Budget
	names    []string
	accounts map[string]*Account
}

// play carries out a step and returns what became of it.
func (s *stand) play(t *testing.T, f []string) string {
	t.Helper()
	if f[0] == "budget" {
		*s = stand{budget: &Budget{MaxBytes: int64(number(t, f[1])), MaxConns: number(t, f[2])}, accounts: map[string]*Account{}}
		return ""
	}
	a, result := s.accounts[f[1]], ""
	switch f[0] {
	case "open":
		a = s.budget.admit(stub{address: netip.MustParseAddr(f[2])})
		if a == nil {
			return "no room"
		}
		s.names = append(s.names, f[1])
		s.accounts[f[1]] = a
	case "read":
		n, lines := number(t, f[2]), number(t, f[3])
		a.read([]byte(strings.Repeat("\n", lines)+strings.Repeat("x", n-lines)), _bufferBytes)
	case "byte":
		a.read([]byte("x"), 1)
	case "begin":
		a.begin()
	case "body":
		a.begin()
		if err := a.charge(int64(number(t, f[2])) * (1 + _bodyFactor)); err != nil {
			result = err.Error()
		}
	case "pass":
		if err := a.Pass(); err != nil {
			result = err.Error()
		}
	case "end":
		a.end()
	case "close":
		s.budget.remove(a)
	default:
		t.Fatalf("unknown step %q", f[0])
	}
	s.check(t)
	return result
}

// check compares the sums of the budget with its accounts.
func (s *stand) check(t *testing.T) {
	t.Helper()
	b := s.budget
	var held, leaving, passed int64
	conns, leavingConns := 0, 0
	origins := map[*origin]int64{}
	for i, a := range b.accounts {
		assert.Equal(t, a.index, i)
		if a.givenUp.Load() {
			leaving += a.held
			leavingConns++
			continue
		}
		held += a.held
		conns++
		origins[a.origin] += a.held
		if a.large {
			passed += a.held
		}
	}
	assert.DeepEqual(t, []int64{held, leaving, passed}, []int64{b.held, b.leaving, b.passed})
	assert.DeepEqual(t, []int{conns, leavingConns, len(origins)}, []int{b.conns, b.leavingConns, len(b.origins)})
	for o, n := range origins {
		assert.Equal(t, o.held, n)
	}
}

// state returns what the open connections hold. Those that were given up are in brackets.
func (s *stand) state() string {
	var l []string
	for _, n := range s.names {
		switch a := s.accounts[n]; {
		case a.closed:
		case a.givenUp.Load():
			l = append(l, fmt.Sprintf("[%s %d]", n, a.held))
		default:
			l = append(l, fmt.Sprintf("%s %d", n, a.held))
		}
	}
	return strings.Join(l, ", ")
}

func number(t *testing.T, s string) int {
	t.Helper()
	n, err := strconv.Atoi(s)
	assert.NilError(t, err)
	return n
}

// TestSteps plays testdata/steps.txt. The golden file has what the connections hold after each
// step, and those that were given up in brackets.
func TestSteps(t *testing.T) {
	text, err := os.ReadFile("testdata/steps.txt")
	assert.NilError(t, err)
	var out strings.Builder
	s := &stand{}
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" {
			fmt.Fprintln(&out, line)
			continue
		}
		result := s.play(t, f)
		fmt.Fprintln(&out, strings.TrimRight(fmt.Sprintf("%-18s %s  %s", line, s.state(), result), " "))
	}
	golden.Assert(t, out.String(), "steps.golden")
}

// TestLimitHoldsForMany has many connections read headers and bodies while none that was given
// up gets to close, and then as many come again.
func TestLimitHoldsForMany(t *testing.T) {
	const (
		limit, conns = 32 << 20, 100
		// largest is what one connection holds at most here.
		largest = 1 << 20
	)
	b := &Budget{MaxBytes: limit, MaxConns: conns}
	for range 20 {
		var l []*Account
		for i := range 300 {
			a := b.admit(stub{address: netip.AddrFrom4([4]byte{10, 0, 0, byte(i % 7)})})
			if a == nil {
				continue
			}
			l = append(l, a)
			for range 1 + i%5 {
				a.read([]byte(strings.Repeat("abc\n", 900)), _bufferBytes)
			}
			a.begin()
			for range i % 40 {
				_ = a.charge(_chunkBytes)
			}
			assert.Assert(t, b.held <= limit)
			assert.Assert(t, b.held+b.leaving <= limit+limit/_leavingShare+largest+conns*_smallBytes)
			assert.Assert(t, b.conns <= conns && b.conns+b.leavingConns <= conns+conns/_leavingShare)
		}
		for _, a := range slices.Backward(l) {
			b.remove(a)
		}
		assert.Equal(t, b.held+b.leaving, int64(0))
		assert.Equal(t, len(b.origins)+len(b.accounts), 0)
	}
}
