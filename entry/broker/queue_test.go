package broker_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"fescuelanding/entry/broker"
)

// TestFullQueue fills the queue with the requests of one team. The next
// request of this team is refused. A request of another team displaces the
// latest one of the first team.
func TestFullQueue(t *testing.T) {
	var b broker.Broker
	b.SetLimits(_epoch, broker.Limits{
		Classes: []broker.Class{
			{Name: "relaxed", Deadline: _relaxedDeadline, MaxRun: _relaxedMaxRun},
			{Name: "urgent", Urgency: broker.Urgent, Deadline: _urgentDeadline, MaxRun: _relaxedMaxRun},
		},
		Teams: []broker.Team{{Name: "greedy"}, {Name: "modest"}},
	})
	b.SetHosts(_epoch, patternHosts(1000))
	b.Takeover(_epoch, broker.Takeover{Term: 1, Expected: []broker.Entry{{Name: "e1"}}})
	const maxQueue = 10_000
	ask := func(id uint64, team string) []broker.Op {
		return b.Ask(_epoch, broker.Ask{Request: id, Class: "relaxed", Team: team, Idempotent: true})
	}
	for id := range uint64(maxQueue) {
		assert.Equal(t, len(ask(id+1, "greedy")), 0)
	}
	refused := ask(maxQueue+1, "greedy")[0].(broker.Refuse)
	assert.Equal(t, refused.Reason, broker.QueueFull)
	assert.Equal(t, refused.Request, uint64(maxQueue+1))
	refused = ask(maxQueue+2, "modest")[0].(broker.Refuse)
	assert.Equal(t, refused.Reason, broker.Displaced)
	assert.Assert(t, refused.Request <= maxQueue)
	// Urgent requests have a queue bound of their own.
	urgent := broker.Ask{Request: maxQueue + 3, Class: "urgent", Team: "modest", Idempotent: true}
	assert.Equal(t, len(b.Ask(_epoch, urgent)), 0)
}

// BenchmarkAskDone measures the cost of one request, by the number of hosts
// and of waiting requests.
func BenchmarkAskDone(b *testing.B) {
	for _, hosts := range []int{10, 40, 160} {
		for _, waiting := range []int{0, 100, 1000, 9000} {
			b.Run(fmt.Sprintf("hosts=%d/waiting=%d", hosts, waiting), func(b *testing.B) {
				k := newBusy(hosts, waiting)
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					k.turn()
				}
			})
		}
	}
}

// BenchmarkCancel measures the cost of one cancellation when many requests
// are cancelled in a row.
func BenchmarkCancel(b *testing.B) {
	const wave = 9000
	for done := 0; done < b.N; done += wave {
		b.StopTimer()
		k := newBusy(10, wave)
		first := k.next - wave
		b.StartTimer()
		for i := range uint64(min(wave, b.N-done)) {
			k.b.Cancel(_epoch, first+i+1)
		}
	}
}

// BenchmarkQueued measures the memory of a waiting request.
func BenchmarkQueued(b *testing.B) {
	for _, waiting := range []int{1000, 4000, 9000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				newBusy(10, waiting)
			}
		})
	}
}

// busy is a broker whose slots are all taken, with some waiting requests.
type busy struct {
	b     broker.Broker
	next  uint64
	slots []uint64
}

func newBusy(hosts, waiting int) *busy {
	k := &busy{}
	k.b.SetLimits(_epoch, broker.Limits{
		Classes: []broker.Class{{Name: "urgent", Urgency: broker.Urgent, Deadline: _relaxedDeadline, MaxRun: _relaxedDeadline}},
		Teams:   patternLimits(_teams).Teams,
	})
	k.b.SetHosts(_epoch, patternHosts(hosts))
	for range hosts*_slotsOfHost + waiting {
		k.ask()
	}
	return k
}

func (k *busy) ask() {
	k.next++
	k.take(k.b.Ask(_epoch, broker.Ask{
		Request: k.next, Entry: broker.Entry{Name: "e1"}, Service: "service", Class: "urgent",
		Team: _teamNames[k.next%_teams], Idempotent: true,
	}))
}

func (k *busy) take(ops []broker.Op) {
	for _, o := range ops {
		if g, ok := o.(broker.Grant); ok {
			k.slots = append(k.slots, g.Slot)
		}
	}
}

// turn ends one run and asks for another slot.
func (k *busy) turn() {
	s := k.slots[0]
	k.slots = k.slots[1:]
	k.ask()
	k.take(k.b.Done(_epoch, s, broker.Result{Outcome: broker.Answered, Run: _defaultRun}))
}

const _defaultRun = 100_000_000

var _teamNames = func() [_teams]string {
	var ns [_teams]string
	for i := range ns {
		ns[i] = fmt.Sprintf("team%d", i)
	}
	return ns
}()
