// Package record holds the records of the platform's fleet stream and the
// chunks of a checkpoint, as protobuf messages.
//
// A writer gives each record a unique id, so that a record that is appended again
// after a lost answer is applied once:
//
//	r := &record.Record{Id: record.NewID(), Writer: "entry1", Body: body}
//	r.Basis = state.Basis(r)
//	data, err := proto.Marshal(r)
package record
