package config

import (
	"slices"
	"strings"

	"fescuelanding/fleet/record"
)

// kind converts between the sections of one kind and the objects in data.
type kind struct {
	name string
	// set parses a section, stores its object in d and adds its problems to e.
	set func(d *data, s *record.Section, e *Invalid)
	// remove deletes an object from d and reports whether it existed.
	remove func(d *data, name string) bool
	has    func(d *data, name string) bool
	// sections appends the sections of the kind, sorted by name.
	sections func(d *data, to []*record.Section) []*record.Section
	// diff adds to c the changes that turn the sections of this kind in a into
	// those in b.
	diff func(a, b *data, c *record.ConfigChange)
}

// newKind returns a kind whose objects are stored as T in a table. newObject
// returns an object with default values, and tableOf returns the table.
func newKind[T row](name string, fields []field[T], newObject func(string) T, tableOf func(*data) *table[T]) kind {
	section := func(t *T) *record.Section {
		return &record.Section{Kind: name, Name: (*t).Name(), Settings: settings(fields, t)}
	}
	return kind{
		name: name,
		set: func(d *data, s *record.Section, e *Invalid) {
			t := newObject(s.GetName())
			readFields(fields, &t, s, e)
			tableOf(d).put(&t)
		},
		remove: func(d *data, n string) bool { return tableOf(d).remove(n) },
		has:    func(d *data, n string) bool { return tableOf(d).get(n) != nil },
		sections: func(d *data, to []*record.Section) []*record.Section {
			for _, t := range tableOf(d).rows {
				to = append(to, section(t))
			}
			return to
		},
		diff: func(a, b *data, c *record.ConfigChange) {
			diffTables(tableOf(a), tableOf(b), func(t *T) {
				c.Set = append(c.Set, section(t))
			}, func(n string) {
				c.Removed = append(c.Removed, &record.SectionRef{Kind: name, Name: n})
			})
		},
	}
}

// findKind returns the kind with the given name and whether it exists.
func findKind(name string) (kind, bool) {
	i := slices.IndexFunc(_kinds, func(k kind) bool { return k.name == name })
	if i < 0 {
		return kind{}, false
	}
	return _kinds[i], true
}

// kindNames returns the list of kinds for an error message.
func kindNames() string {
	n := make([]string, len(_kinds))
	for i, k := range _kinds {
		n[i] = k.name
	}
	return "one of " + strings.Join(n, ", ")
}

// readFields sets t's fields from a section and adds invalid, duplicate, unknown
// and missing keys to e.
func readFields[T any](fields []field[T], t *T, s *record.Section, e *Invalid) {
	seen := make(map[string]bool, len(s.GetSettings()))
	for _, v := range s.GetSettings() {
		p := Problem{kind: s.GetKind(), name: s.GetName(), key: v.GetKey()}
		if seen[v.GetKey()] {
			p.reason, p.want = ErrDuplicate, "each key once"
			e.add(p)
			continue
		}
		seen[v.GetKey()] = true
		i := slices.IndexFunc(fields, func(f field[T]) bool { return f.key == v.GetKey() })
		if i < 0 {
			p.reason, p.want = ErrKey, keyNames(fields)
			e.add(p)
			continue
		}
		if err := fields[i].set(t, v.GetValue()); err != nil {
			p.reason, p.found, p.want = ErrValue, v.GetValue(), err.Error()
			e.add(p)
		}
	}
	for _, f := range fields {
		if f.required && !seen[f.key] {
			e.add(Problem{reason: ErrMissing, kind: s.GetKind(), name: s.GetName(), key: f.key, want: "a value for it"})
		}
	}
}

// settings returns the keys and values of t in the order of fields.
func settings[T any](fields []field[T], t *T) []*record.Setting {
	r := make([]*record.Setting, 0, len(fields))
	for _, f := range fields {
		if v := f.get(t); v != "" {
			r = append(r, &record.Setting{Key: f.key, Value: v})
		}
	}
	return r
}

// keyNames returns the list of keys for an error message.
func keyNames[T any](fields []field[T]) string {
	n := make([]string, len(fields))
	for i, f := range fields {
		n[i] = f.key
	}
	return "one of " + strings.Join(n, ", ")
}
