package peer

import (
	"errors"
	"fmt"
)

var (
	// ErrNotConnected means that there is no connection to the entry. Nothing
	// was sent.
	ErrNotConnected = errors.New("peer: not connected")
	// ErrQueueFull means that the lane's queue or the table of pending calls is
	// full. Nothing was sent.
	ErrQueueFull = errors.New("peer: send queue or call table is full")
	// ErrTooLarge means that a message exceeds the maximum frame size of its
	// lane. Nothing was sent.
	ErrTooLarge = errors.New("peer: message too large")
	// ErrDisconnected means that the connection ended before the reply
	// arrived. The message may have been handled.
	ErrDisconnected = errors.New("peer: disconnected")
	// ErrNoReply means that the message is one-way and takes no reply.
	ErrNoReply = errors.New("peer: message takes no reply")

	// ErrHeartbeatTimeout ends a connection whose control lane received
	// nothing for the silence timeout.
	ErrHeartbeatTimeout = errors.New("peer: heartbeat timeout")
	// ErrWriteTimeout ends a connection whose other side does not read fast
	// enough.
	ErrTimeout = errors.New("peer: write timeout: other side reads too slowly")
	// ErrBadFrame ends a connection that received a frame which is too large
	// or can't be decoded.
	ErrBadFrame = errors.New("peer: bad frame")
	// ErrTooManyStreams ends a connection on which the other side opened a
	// third stream.
	ErrTooManyStreams = errors.New("peer: too many streams")
	// ErrReplaced ends a connection that another one to the same entry
	// replaces.
	ErrReplaced = errors.New("peer: replaced by another connection")
	// ErrStopped ends every connection when Serve stops.
	ErrStopped = errors.New("peer: stopped")
)

// RefusedError is returned where one of the two sides refused the connection
// in the handshake.
type RefusedError struct {
	code   RefusalCode
	detail string
	remote bool
}

// Code returns the class of the refusal.
func (e *RefusedError) Code() RefusalCode { return e.code }

// Remote reports whether the other side refused.
func (e *RefusedError) Remote() bool { return e.remote }

// Error implements error.
func (e *RefusedError) Error() string {
	side := "this side"
	if e.remote {
		side = "the other side"
	}
	return fmt.Sprintf("peer: refused by %s: %s", side, e.detail)
}

// FaultError is returned by Call where the receiver could not handle the
// message.
type FaultError struct {
	detail string
}

// Error implements error.
func (e *FaultError) Error() string { return "peer: fault: " + e.detail }
