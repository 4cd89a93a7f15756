package peer

import "google.golang.org/protobuf/proto"

// Message is implemented by every message of peer.proto that an Envelope
// carries, except Heartbeat, which only the Set itself sends.
type Message interface {
	proto.Message
	put(*Envelope)
}

func (m *Ack) put(e *Envelope)             { e.Body = &Envelope_Ack{m} }
func (m *Fault) put(e *Envelope)           { e.Body = &Envelope_Fault{m} }
func (m *Push) put(e *Envelope)            { e.Body = &Envelope_Push{m} }
func (m *Fetch) put(e *Envelope)           { e.Body = &Envelope_Fetch{m} }
func (m *Records) put(e *Envelope)         { e.Body = &Envelope_Records{m} }
func (m *FetchCheckpoint) put(e *Envelope) { e.Body = &Envelope_FetchCheckpoint{m} }
func (m *CheckpointChunk) put(e *Envelope) { e.Body = &Envelope_CheckpointChunk{m} }
func (m *Ask) put(e *Envelope)             { e.Body = &Envelope_Ask{m} }
func (m *Grant) put(e *Envelope)           { e.Body = &Envelope_Grant{m} }
func (m *Refuse) put(e *Envelope)          { e.Body = &Envelope_Refuse{m} }
func (m *Answered) put(e *Envelope)        { e.Body = &Envelope_Answered{m} }
func (m *Done) put(e *Envelope)            { e.Body = &Envelope_Done{m} }
func (m *Cancel) put(e *Envelope)          { e.Body = &Envelope_Cancel{m} }
func (m *FetchHolds) put(e *Envelope)      { e.Body = &Envelope_FetchHolds{m} }
func (m *Holds) put(e *Envelope)           { e.Body = &Envelope_Holds{m} }
func (m *Witness) put(e *Envelope)         { e.Body = &Envelope_Witness{m} }

// message returns the body of an envelope. It returns nil for a heartbeat and
// for a message type that only a newer version has.
func (e *Envelope) message() Message {
	if m := e.requestMessage(); m != nil {
		return m
	}
	switch b := e.GetBody().(type) {
	case *Envelope_Ack:
		return b.Ack
	case *Envelope_Fault:
		return b.Fault
	case *Envelope_Push:
		return b.Push
	case *Envelope_Fetch:
		return b.Fetch
	case *Envelope_Records:
		return b.Records
	case *Envelope_FetchCheckpoint:
		return b.FetchCheckpoint
	case *Envelope_CheckpointChunk:
		return b.CheckpointChunk
	default:
		return nil
	}
}

// requestMessage returns the body if its type concerns requests and slots, or
// nil.
func (e *Envelope) requestMessage() Message {
	switch b := e.GetBody().(type) {
	case *Envelope_Ask:
		return b.Ask
	case *Envelope_Grant:
		return b.Grant
	case *Envelope_Refuse:
		return b.Refuse
	case *Envelope_Answered:
		return b.Answered
	case *Envelope_Done:
		return b.Done
	case *Envelope_Cancel:
		return b.Cancel
	case *Envelope_FetchHolds:
		return b.FetchHolds
	case *Envelope_Holds:
		return b.Holds
	case *Envelope_Witness:
		return b.Witness
	default:
		return nil
	}
}

// isBulk reports whether a message is sent on the bulk lane.
func isBulk(m Message) bool {
	switch m.(type) {
	case *Push, *Fetch, *Records, *FetchCheckpoint, *CheckpointChunk:
		return true
	default:
		return false
	}
}
