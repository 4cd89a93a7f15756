// Package work holds the jobs that callers hand in: what they ask for, and how
// far they are.
//
// A Job is immutable once it has been accepted. Progress is what has to last
// beside it, so that a later owner of the pool neither repeats a finished task
// nor forgets a cancelled job. Both are protobuf messages, as they are kept in
// the pool's journal and sent between entries.
package work
