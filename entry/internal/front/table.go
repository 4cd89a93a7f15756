package front

import (
	"cmp"
	"slices"
	"strings"

	"fescuelanding/platform"
)

// Table maps a host and path to a queue.
type Table struct {
	byHost map[string][]platform.Queue
}

// NewTable returns the routing table of a configuration's queues.
func NewTable(queues []platform.Queue) *Table {
	t := &Table{byHost: make(map[string][]platform.Queue)}
	for _, q := range queues {
		t.byHost[q.Host] = append(t.byHost[q.Host], q)
	}
	for _, l := range t.byHost {
		slices.SortFunc(l, func(a, b platform.Queue) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Find returns the queue with the longest matching prefix of a path. Letter case in
// host is ignored.
func (t *Table) Find(host, path string) (platform.Queue, bool) {
	for _, q := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) {
			return q, true
		}
	}
	return platform.Queue{}, false
}
