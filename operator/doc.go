// Package operator declares a fleet in Go and prints the configuration to
// publish.
//
// A Fleet's methods declare its objects and return handles, by which other
// declarations refer to them; options say the rest:
//
//	var f operator.Fleet
//	counter := f.Class("counter", operator.Urgent(time.Second), operator.Deadline(10*time.Second), operator.MaxRun(5*time.Second))
//	fitting := f.Pool("fitting", operator.MinAvailable(1))
//	f.Service("sizeCheck", fitting, counter, operator.Idempotent())
//	rack := f.DataCentre("mct1", "muscat").Rack("r1")
//	f.Host("mct1-r1-h1", fitting, rack, netip.MustParseAddrPort("10.1.1.1:8080"))
//	err := f.Print(os.Stdout)
//
// Text and Print validate with the code that the entries use, and print equal
// declarations to equal bytes whatever their order, so that the output can be
// kept under version control and compared line by line. Errors are of type
// *config.Invalid.
package operator
