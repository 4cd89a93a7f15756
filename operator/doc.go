// Package operator lets operators declare a fleet in Go and prints it as the
// configuration that is to be published.
//
// The methods of Fleet declare data centres, classes, teams, pools, services and
// hosts. Some return handles, which other declarations take as references.
// Options set the remaining keys:
//
//	var f operator.Fleet
//	counter := f.Class("counter", operator.Urgent(time.Second), operator.Deadline(10*time.Second), operator.MaxRun(5*time.Second))
//	fitting := f.Pool("fitting", operator.MinAvailable(1))
//	f.Service("sizeCheck", fitting, counter, operator.Idempotent())
//	rack := f.DataCentre("mct1", "muscat").Rack("r1")
//	f.Host("mct1-r1-h1", fitting, rack, netip.MustParseAddrPort("10.1.1.1:8080"))
//	err := f.Print(os.Stdout)
//
// Config, Text and Print validate the declarations with the same code as the
// entries. Their output doesn't depend on the order of the declarations, so it can
// be kept under version control and compared line by line. Validation errors wrap
// a *config.Invalid.
package operator
