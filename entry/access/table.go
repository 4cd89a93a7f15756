package access

import (
	"crypto/subtle"

	"fescuelanding/platform"
)

// Table holds the workspaces of a configuration by the hashes of their keys. The zero value
// requires no keys.
type Table struct {
	required bool
	byKey    map[platform.KeyHash]entry
}

// entry is a key with its workspace. The key is held again so that it can be compared in
// constant time.
type entry struct {
	key       platform.KeyHash
	workspace string
}

// NewTable returns the table of a configuration. If two workspaces have the same key, it
// belongs to the first.
func NewTable(c platform.Config) *Table {
	t := &Table{required: c.KeysRequired, byKey: make(map[platform.KeyHash]entry)}
	for _, w := range c.Workspaces {
		for _, k := range w.Keys {
			if _, ok := t.byKey[k]; !ok {
				t.byKey[k] = entry{k, w.Name}
			}
		}
	}
	return t
}

// Required reports whether calls need a key, except those of anonymous queues.
func (t *Table) Required() bool { return t != nil && t.required }

// Workspace returns the workspace of a key.
func (t *Table) Workspace(k platform.KeyHash) (name string, ok bool) {
	if t == nil {
		return "", false
	}
	e, ok := t.byKey[k]
	if !ok || subtle.ConstantTimeCompare(e.key[:], k[:]) != 1 {
		return "", false
	}
	return e.workspace, true
}
