package peer

import (
	"errors"
	"fmt"
)

var (
	// ErrNotConnected says that there is no connection to the entry; nothing
	// was sent.
	ErrNotConnected = errors.New("peer: not connected")
	// ErrFull says that the lane or the table of calls is full; nothing was
	// sent.
	ErrQueueFull = errors.New("peer: full")
	// ErrTooLarge says that a message exceeds the frame of its lane; nothing
	// was sent.
	ErrTooLarge = errors.New("peer: message too large")
	// ErrDisconnected says that the connection ended before the reply came;
	// the message may have been handled.
	ErrDisconnected = errors.New("peer: disconnected")
	// ErrNoReply says that the message asks for no reply, or had one.
	ErrNoReply = errors.New("peer: no reply is awaited")

	// ErrSilent ends a connection without heartbeats.
	ErrHeartbeatTimeout = errors.New("peer: silent")
	// ErrSlow ends a connection whose other side takes nothing off it.
	ErrWriteTimeout = errors.New("peer: too slow to read")
	// ErrFrame ends a connection with a frame that is too large or garbled.
	ErrBadFrame = errors.New("peer: bad frame")
	// ErrStreams ends a connection on which streams were opened in excess.
	ErrTooManyStreams = errors.New("peer: too many streams")
	// ErrReplaced ends a connection for a better one to the same entry.
	ErrReplaced = errors.New("peer: replaced by another connection")
	// ErrStopped ends every connection when the set stops.
	ErrStopped = errors.New("peer: stopped")
)

// RefusedError says that one of the two sides refused the connection in the
// handshake.
type RefusedError struct {
	code   RefusalCode
	detail string
	remote bool
}

// Code returns the kind of the refusal.
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

// FaultError says that the receiver could not handle a call.
type FaultError struct {
	detail string
}

// Error implements error.
func (e *FaultError) Error() string { return "peer: fault: " + e.detail }
