package peer

import "time"

// Status is the state of a peer and of the connection to it.
type Status struct {
	entry         string
	dataCentre    string
	incarnation   uint64
	connected     bool
	lastReceived  time.Time
	appliedOffset uint64
	proofAge      time.Duration
	ready         bool
	rtt           time.Duration
	errs          peerErrors
}

// Entry returns the name of the peer.
func (s Status) Entry() string { return s.entry }

// DataCentre returns the data centre of a connected peer.
func (s Status) DataCentre() string { return s.dataCentre }

// Incarnation returns the incarnation of a connected peer.
func (s Status) Incarnation() uint64 { return s.incarnation }

// Connected reports whether there is a connection to the peer.
func (s Status) Connected() bool { return s.connected }

// LastReceived returns when the last message arrived on the control lane. It is
// zero where the peer is not connected.
func (s Status) LastReceived() time.Time { return s.lastReceived }

// AppliedOffset returns the offset of the fleet stream that the peer had
// applied at its last heartbeat.
func (s Status) AppliedOffset() uint64 { return s.appliedOffset }

// ProofAge returns how long before its last heartbeat the peer was last
// confirmed by the log to have read up to the log's head. It is negative if the
// log never confirmed this.
func (s Status) ProofAge() time.Duration { return s.proofAge }

// Ready reports whether the peer accepts requests, as of its last heartbeat.
func (s Status) Ready() bool { return s.ready }

// RTT returns the round-trip time measured with the last heartbeat, including
// the time in queues.
func (s Status) RTT() time.Duration { return s.rtt }

// ConnectErr returns the error of the last attempt to connect to a peer of
// SetPeers. It is nil where none was made since the last connection ended, or
// where the peer is connected.
func (s Status) ConnectErr() error { return s.errs.connect }

// DisconnectErr returns why the last connection to a peer of SetPeers ended. It
// is nil where there was none.
func (s Status) DisconnectErr() error { return s.errs.disconnect }

// peerErrors holds the errors of the last connection to a peer and of the last
// attempt to connect to it.
type peerErrors struct {
	disconnect error
	connect    error
}
