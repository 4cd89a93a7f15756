// Package work holds the jobs that callers submit, with their steps and progress.
//
// A Job is immutable once it has been accepted. Progress is stored beside it, so
// that a later owner of the pool neither repeats a finished task nor runs a
// cancelled job. Both are protobuf messages, because they are written to the
// pool's journal and sent between entries:
//
//	j := &work.Job{Id: id, Queue: route, Pool: pool, Steps: []*work.Step{{Count: 4, MilliCpu: 500}}}
//	data, err := proto.Marshal(j)
package work
