package config

import (
	"slices"
	"strings"

	"fescuelanding/fleet/record"
)

// kind handles the sections of one kind.
type kind struct {
	name string
	// set reads a section into d and notes its problems.
	set func(d *data, s *record.Section, e *Invalid)
	// remove takes an object out of d and reports whether it was there.
	remove func(d *data, name string) bool
	has    func(d *data, name string) bool
	// sections appends the kind's sections in the order of names.
	sections func(d *data, to []*record.Section) []*record.Section
	// diff appends what turns the kind's sections of a into those of b.
	diff func(a, b *data, c *record.ConfigChange)
}

// newKind returns the handler of a kind whose objects are kept as T in a table.
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

// findKind returns the handler of a kind.
func findKind(name string) (kind, bool) {
	i := slices.IndexFunc(_kinds, func(k kind) bool { return k.name == name })
	if i < 0 {
		return kind{}, false
	}
	return _kinds[i], true
}

// kindNames lists the kinds for an error.
func kindNames() string {
	n := make([]string, len(_kinds))
	for i, k := range _kinds {
		n[i] = k.name
	}
	return "one of " + strings.Join(n, ", ")
}

// read sets t's fields from a section and notes what is wrong or missing.
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

// settings returns the section's keys in the order of its fields.
func settings[T any](fields []field[T], t *T) []*record.Setting {
	r := make([]*record.Setting, 0, len(fields))
	for _, f := range fields {
		if v := f.get(t); v != "" {
			r = append(r, &record.Setting{Key: f.key, Value: v})
		}
	}
	return r
}

// keyNames lists a kind's keys for an error.
func keyNames[T any](fields []field[T]) string {
	n := make([]string, len(fields))
	for i, f := range fields {
		n[i] = f.key
	}
	return "one of " + strings.Join(n, ", ")
}
