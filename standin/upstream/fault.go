package upstream

// Fault is the fault that an executor injects into a request.
type Fault string

const (
	// FaultNone runs the request and answers.
	FaultNone Fault = ""
	// FaultSlow runs the request ten times as long.
	FaultSlow Fault = "slow"
	// FaultHang holds the request until the client disconnects.
	FaultHang Fault = "hang"
	// FaultHalf declares the full length of the response and closes the
	// connection after half of the body.
	FaultHalf Fault = "half"
	// FaultCrossed answers with an attempt ID and body that belong to no
	// request.
	FaultCrossed Fault = "crossed"
	// FaultLate answers with the attempt ID and body of the previous request.
	FaultLate Fault = "late"
	// FaultFail answers 500 at once.
	FaultFail Fault = "fail"
	// FaultClose reads and runs the request, then closes the connection without
	// an answer. An HTTP client that retries automatically causes a second run.
	FaultClose Fault = "close"
	// FaultLeaving answers 503 without running the request, and announces that
	// the executor is leaving.
	FaultLeaving Fault = "leaving"
	// FaultGhost continues the run after the client has disconnected.
	FaultGhost Fault = "ghost"
)

// known reports whether f is one of the defined faults.
func (f Fault) known() bool {
	switch f {
	case FaultNone, FaultSlow, FaultHang, FaultHalf, FaultCrossed,
		FaultLate, FaultFail, FaultClose, FaultLeaving, FaultGhost:
		return true
	}
	return false
}

// faultRule is a fault set by the control API. If it is limited, it applies only
// to as many further requests as remaining says, else to all.
type faultRule struct {
	fault     Fault
	remaining int
	limited   bool
}

// next returns the fault for the next request and counts the request.
func (r *faultRule) next() Fault {
	if !r.limited {
		return r.fault
	}
	if r.remaining == 0 {
		return FaultNone
	}
	r.remaining--
	return r.fault
}
