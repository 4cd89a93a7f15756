package peer

import "time"

// Status is what is known of a peer.
type Status struct {
	entry         string
	dataCentre    string
	incarnation   uint64
	connected     bool
	heard         time.Time
	appliedOffset uint64
	proofAge      time.Duration
	ready         bool
	rtt           time.Duration
	trouble       trouble
}

// Entry returns the name of the peer.
func (s Status) Entry() string { return s.entry }

// DataCentre returns the data centre of a connected peer.
func (s Status) DataCentre() string { return s.dataCentre }

// Incarnation returns the incarnation of a connected peer.
func (s Status) Incarnation() uint64 { return s.incarnation }

// Connected reports whether there is a connection.
func (s Status) Connected() bool { return s.connected }

// Heard returns when the peer was last heard from; zero where not connected.
func (s Status) LastReceived() time.Time { return s.heard }

// AppliedOffset returns the offset of the fleet stream that the peer had
// applied at its last heartbeat.
func (s Status) AppliedOffset() uint64 { return s.appliedOffset }

// ProofAge returns how long before its last heartbeat the peer had the log's
// head proved; negative where it never had.
func (s Status) ProofAge() time.Duration { return s.proofAge }

// Ready reports whether the peer takes requests.
func (s Status) Ready() bool { return s.ready }

// RTT returns the round trip of the last heartbeat, queues included.
func (s Status) RTT() time.Duration { return s.rtt }

// Err returns why a wanted peer could not be connected with the last time it
// was tried; nil where it was not tried since, or is connected.
func (s Status) ConnectErr() error { return s.trouble.failed }

// Lost returns why the last connection with a wanted peer ended; nil where
// there was none.
func (s Status) DisconnectErr() error { return s.trouble.lost }

// trouble is what went wrong with a peer.
type trouble struct {
	lost   error
	failed error
}
