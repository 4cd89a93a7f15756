package upstream

// Fault is what an executor does wrong with a request.
type Fault string

const (
	// FaultNone runs the request and answers.
	FaultNone Fault = ""
	// FaultSlow runs ten times as long as asked.
	FaultSlow Fault = "slow"
	// FaultHang holds the request until the client hangs up.
	FaultHang Fault = "hang"
	// FaultHalf declares the whole answer and cuts it in the middle.
	FaultHalf Fault = "half"
	// FaultCrossed answers with the id and body of no request.
	FaultCrossed Fault = "crossed"
	// FaultLate answers with the id and body of the request before.
	FaultLate Fault = "late"
	// FaultFail answers 500 at once.
	FaultFail Fault = "fail"
	// FaultClose reads the request, runs it and closes the connection. A
	// client that repeats it by itself makes a second run.
	FaultClose Fault = "close"
	// FaultLeaving answers 503, runs nothing, and says that it is leaving.
	FaultLeaving Fault = "leaving"
	// FaultGhost runs on after the client hung up.
	FaultGhost Fault = "ghost"
)

// known reports whether a fault has a meaning.
func (f Fault) known() bool {
	switch f {
	case FaultNone, FaultSlow, FaultHang, FaultHalf, FaultCrossed,
		FaultLate, FaultFail, FaultClose, FaultLeaving, FaultGhost:
		return true
	}
	return false
}

// order is a fault commanded for a number of requests; zero means all.
type order struct {
	fault Fault
	left  int
	ends  bool
}

// next returns the fault for the next request.
func (o *order) next() Fault {
	if !o.ends {
		return o.fault
	}
	if o.left == 0 {
		return FaultNone
	}
	o.left--
	return o.fault
}
