package scheduler

import (
	"errors"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"fescuelanding/fleet/work"
	"fescuelanding/platform"
)

// Decode decodes the records that former owners appended for a pool. Records of
// other pools and deleted ones are skipped. The error names the key of the record
// that is malformed.
func Decode(pool string, records []platform.Record) (Loaded, error) {
	l := Loaded{Progress: make(map[string]*work.Progress)}
	for _, r := range records {
		if len(r.Value) == 0 {
			continue
		}
		if err := decodeOne(pool, r, &l); err != nil {
			return l, fmt.Errorf("decode %q: %w", r.Key, err)
		}
	}
	return l, nil
}

func decodeOne(pool string, r platform.Record, l *Loaded) error {
	if r.Key == LearnedKey(pool) {
		l.Learned = &work.Learned{}
		if err := proto.Unmarshal(r.Value, l.Learned); err != nil {
			return fmt.Errorf("learned: %w", err)
		}
	}
	if id, ok := strings.CutPrefix(r.Key, JobKey(pool, "")); ok {
		m := &work.Job{}
		if err := proto.Unmarshal(r.Value, m); err != nil {
			return fmt.Errorf("job %s: %w", id, err)
		}
		if err := CheckJob(m); err != nil {
			return fmt.Errorf("job %s: %w", id, err)
		}
		l.Jobs = append(l.Jobs, m)
	}
	if id, ok := strings.CutPrefix(r.Key, ProgressKey(pool, "")); ok {
		m := &work.Progress{}
		if err := proto.Unmarshal(r.Value, m); err != nil {
			return fmt.Errorf("progress %s: %w", id, err)
		}
		if err := checkProgress(m); err != nil {
			return fmt.Errorf("progress %s: %w", id, err)
		}
		// A large job has several records, of which only the first has the job's state.
		id, _, _ = strings.Cut(id, "/")
		if l.Progress[id] == nil {
			l.Progress[id] = &work.Progress{}
		}
		proto.Merge(l.Progress[id], m)
	}
	if id, ok := strings.CutPrefix(r.Key, HostKey(pool, "")); ok {
		m := &work.Host{}
		if err := proto.Unmarshal(r.Value, m); err != nil {
			return fmt.Errorf("host %s: %w", id, err)
		}
		l.Hosts = append(l.Hosts, platform.Upstream{
			ID: m.GetId(), Address: m.GetAddress(), Machine: m.GetMachine(), Pool: pool, StartUnixMs: m.GetStartUnixMs(),
		})
	}
	return nil
}

// ErrMalformed reports a message that can be decoded but makes no sense.
var ErrMalformed = errors.New("malformed")

// CheckJob reports whether a job from another process can be executed: it has steps, each with
// tasks, and a step depends only on earlier ones.
func CheckJob(j *work.Job) error {
	if len(j.GetSteps()) == 0 {
		return fmt.Errorf("job without steps: %w", ErrMalformed)
	}
	for i, d := range j.GetSteps() {
		if d.GetCount() < 1 {
			return fmt.Errorf("step %d without tasks: %w", i, ErrMalformed)
		}
		for _, a := range d.GetAfter() {
			if a < 0 || int(a) >= i {
				return fmt.Errorf("step %d depends on step %d: %w", i, a, ErrMalformed)
			}
		}
	}
	return nil
}

// checkProgress reports whether the progress of a job names occurrences that can exist.
func checkProgress(p *work.Progress) error {
	for _, o := range p.GetOccurrences() {
		if o.GetNumber() < 0 {
			return fmt.Errorf("occurrence %d: %w", o.GetNumber(), ErrMalformed)
		}
	}
	return nil
}
