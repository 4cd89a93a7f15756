package operator_test

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"fescuelanding/fleet/config"
	"fescuelanding/operator"
)

const (
	_day         = 24 * time.Hour
	_week        = 7 * _day
	_hostsInRack = 4
	_port        = 8080
)

// layout assigns hosts to the data centres in rotation, four to a rack, and
// assigns their parts to the batches in rotation.
type layout struct {
	fleet   *operator.Fleet
	centres []operator.DataCentre
	names   []string
	batches int
	placed  int
}

// place declares hosts with the given home pool, spread over the data centres.
func (l *layout) place(home operator.Pool, name string, hosts int) {
	for range hosts {
		i := l.placed
		l.placed++
		d := i % len(l.centres)
		in := i / len(l.centres)
		rack, slot := in/_hostsInRack+1, in%_hostsInRack+1
		l.fleet.Host(
			fmt.Sprintf("%s-r%d-%s%d", l.names[d], rack, name, slot),
			home,
			l.centres[d].Rack(fmt.Sprintf("r%d", rack)),
			netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(d + 1), byte(rack), byte(slot)}), _port),
			operator.Batch(fmt.Sprintf("b%d", i%l.batches+1)),
		)
	}
}

// association declares the fleet of the Gulf Slope Outfitters Association. Its
// members pay for idle hosts, so the buffer has the largest weight.
func association() *operator.Fleet {
	f := new(operator.Fleet)
	f.Policy(
		operator.MaintenanceEvery(4*_week),
		operator.Weigh(operator.Weights{Buffer: 8, RollOut: 2, Moves: 1}),
	)
	counter := f.Class("counter", operator.Urgent(1100*time.Millisecond), operator.Deadline(8*time.Second), operator.MaxRun(5*time.Second))
	desk := f.Class("desk", operator.Deadline(30*time.Second), operator.MaxRun(20*time.Second))
	season := f.Class("season", operator.Deadline(7*_day), operator.MaxRun(2*time.Hour))
	f.Team("shopCounters", 4)
	f.Team("travelAgents", 2, operator.Quota(48))
	f.Team("bookingLines", 2, operator.Quota(48))
	f.Team("returnsYard", 1, operator.Quota(64))

	fitting := f.Pool("fitting", operator.MinAvailable(10), operator.Tolerate(config.DomainRack))
	holds := f.Pool("holds", operator.MinAvailable(9), operator.Tolerate(config.DomainRack))
	returns := f.Pool("returns", operator.MinAvailable(7), operator.Tolerate(config.DomainRack))
	deposits := f.Pool("deposits", operator.MinAvailable(5), operator.Tolerate(config.DomainRack))
	bookings := f.Pool("bookings", operator.MinAvailable(5), operator.Tolerate(config.DomainRack))
	spare := f.Pool("spare", operator.Spare())

	f.Service("sizeCheck", fitting, counter, operator.Idempotent())
	f.Service("kitHold", holds, counter)
	f.Service("damageLog", returns, season)
	f.Service("depositRelease", deposits, desk)
	f.Service("booking", bookings, desk)

	l := layout{fleet: f, batches: 10, names: []string{"mct1", "mct2", "mct3"}}
	for _, n := range l.names {
		l.centres = append(l.centres, f.DataCentre(n, "muscat"))
	}
	l.place(fitting, "fitting", 12)
	l.place(holds, "holds", 10)
	l.place(returns, "returns", 8)
	l.place(deposits, "deposits", 6)
	l.place(bookings, "bookings", 6)
	l.place(spare, "spare", 8)
	return f
}

// paddockpick declares the fleet of Paddockpick. A move during the picking season
// puts confirmations at risk, so moves have the largest weight.
func paddockpick() *operator.Fleet {
	f := new(operator.Fleet)
	f.Policy(
		operator.MaintenanceEvery(4*_week),
		operator.Weigh(operator.Weights{Buffer: 1, RollOut: 2, Moves: 8}),
	)
	family := f.Class("family", operator.Urgent(1100*time.Millisecond), operator.Deadline(10*time.Second), operator.MaxRun(5*time.Second))
	grower := f.Class("grower", operator.Deadline(time.Minute), operator.MaxRun(30*time.Second))
	overnight := f.Class("overnight", operator.Deadline(12*time.Hour), operator.MaxRun(time.Hour))
	f.Team("families", 4)
	f.Team("growers", 2, operator.Quota(48))
	f.Team("payouts", 1, operator.Quota(64))

	berries := f.Pool("berries", operator.MinAvailable(10), operator.Tolerate(config.DomainRack))
	cherries := f.Pool("cherries", operator.MinAvailable(9), operator.Tolerate(config.DomainRack))
	rosters := f.Pool("rosters", operator.MinAvailable(7), operator.Tolerate(config.DomainRack))
	payouts := f.Pool("payouts", operator.MinAvailable(5), operator.Tolerate(config.DomainRack))
	gates := f.Pool("gates", operator.MinAvailable(5), operator.Tolerate(config.DomainRack))
	spare := f.Pool("spare", operator.Spare())

	f.Service("berrySession", berries, family)
	f.Service("cherrySession", cherries, family)
	f.Service("roster", rosters, grower, operator.Idempotent())
	f.Service("payout", payouts, overnight)
	f.Service("gateTally", gates, overnight)

	l := layout{fleet: f, batches: 10, names: []string{"hob1", "hob2", "lau1", "dev1"}}
	for _, n := range l.names {
		l.centres = append(l.centres, f.DataCentre(n, "tasmania"))
	}
	l.place(berries, "berries", 12)
	l.place(cherries, "cherries", 10)
	l.place(rosters, "rosters", 8)
	l.place(payouts, "payouts", 6)
	l.place(gates, "gates", 6)
	l.place(spare, "spare", 8)
	return f
}

// The file testdata/association.ini contains the complete configuration.
func Example_association() {
	c, err := association().Config()
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(len(c.DataCentres()), "data centres,", len(c.Services()), "services,", len(c.Hosts()), "hosts")
	fmt.Println("weights: buffer", c.Fleet().BufferWeight(), "roll-out", c.Fleet().RollOutWeight(), "moves", c.Fleet().MoveWeight())
	// Output:
	// 3 data centres, 5 services, 50 hosts
	// weights: buffer 8 roll-out 2 moves 1
}

// The file testdata/paddockpick.ini contains the complete configuration.
func Example_paddockpick() {
	c, err := paddockpick().Config()
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(len(c.DataCentres()), "data centres,", len(c.Services()), "services,", len(c.Hosts()), "hosts")
	fmt.Println("weights: buffer", c.Fleet().BufferWeight(), "roll-out", c.Fleet().RollOutWeight(), "moves", c.Fleet().MoveWeight())
	// Output:
	// 4 data centres, 5 services, 50 hosts
	// weights: buffer 1 roll-out 2 moves 8
}

func ExampleFleet_Print() {
	var f operator.Fleet
	counter := f.Class("counter", operator.Urgent(time.Second), operator.Deadline(10*time.Second), operator.MaxRun(5*time.Second))
	fitting := f.Pool("fitting", operator.MinAvailable(1), operator.Tolerate(config.DomainRack))
	f.Service("sizeCheck", fitting, counter, operator.Idempotent())
	rack := f.DataCentre("mct1", "muscat").Rack("r1")
	f.Host("mct1-r1-h1", fitting, rack, netip.MustParseAddrPort("10.1.1.1:8080"), operator.Batch("b1"))
	if err := f.Print(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// [dataCentre "mct1"]
	// region = muscat
	//
	// [class "counter"]
	// urgent      = true
	// startWithin = 1s
	// deadline    = 10s
	// maxRun      = 5s
	//
	// [pool "fitting"]
	// minAvailable = 1
	// tolerate     = rack
	// spare        = false
	//
	// [service "sizeCheck"]
	// pool       = fitting
	// class      = counter
	// idempotent = true
	//
	// [host "mct1-r1-h1"]
	// address     = 10.1.1.1:8080
	// dataCentre  = mct1
	// rack        = r1
	// batch       = b1
	// home        = fitting
	// slots       = 8
	// connections = 64
}

// A pool's budget can't exceed the number of hosts that have it as home.
func ExampleFleet_Print_invalid() {
	var f operator.Fleet
	f.Pool("fitting", operator.MinAvailable(4))
	if err := f.Print(os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// declared fleet: invalid configuration:
	//   [pool "fitting"] minAvailable: budget can't hold "4", want at most 0, the hosts with this home
}
