package config

import (
	"slices"
	"strings"
)

// row is an object with a name that can be compared by content.
type row interface {
	comparable
	Name() string
}

// table holds rows sorted by name. A table made by copyOnWrite shares its row
// slice with the original until its first change, which copies the slice.
type table[T row] struct {
	rows  []*T
	owned bool
	// changed lists the rows put since the copy; removed is set if a row was
	// removed since then.
	changed []*T
	removed bool
}

// copyOnWrite returns a copy that shares its rows with t until its first change.
func (t table[T]) copyOnWrite() table[T] { return table[T]{rows: t.rows} }

// get returns the row with the given name, or nil.
func (t *table[T]) get(name string) *T {
	i, ok := t.find(name)
	if !ok {
		return nil
	}
	return t.rows[i]
}

// put adds a row or replaces the row with the same name.
func (t *table[T]) put(r *T) {
	t.ensureOwned()
	t.changed = append(t.changed, r)
	i, ok := t.find((*r).Name())
	if ok {
		t.rows[i] = r
		return
	}
	t.rows = slices.Insert(t.rows, i, r)
}

// remove deletes a row and reports whether it existed.
func (t *table[T]) remove(name string) bool {
	i, ok := t.find(name)
	if !ok {
		return false
	}
	t.ensureOwned()
	t.removed = true
	t.rows = slices.Delete(t.rows, i, i+1)
	return true
}

// toCheck returns the rows to validate: those that changed, or all rows if all is
// set. The caller sets all if the change affects objects to which the rows refer.
func (t *table[T]) toCheck(all bool) []*T {
	if all {
		return t.rows
	}
	return t.changed
}

// touched reports whether any row was changed or removed since the copy.
func (t *table[T]) touched() bool { return t.removed || len(t.changed) > 0 }

// values returns copies of the rows.
func (t *table[T]) values() []T {
	r := make([]T, len(t.rows))
	for i, v := range t.rows {
		r[i] = *v
	}
	return r
}

func (t *table[T]) ensureOwned() {
	if t.owned {
		return
	}
	t.rows = slices.Clone(t.rows)
	t.owned = true
}

func (t *table[T]) find(name string) (int, bool) {
	return slices.BinarySearchFunc(t.rows, name, func(r *T, n string) int {
		return strings.Compare((*r).Name(), n)
	})
}

// diffTables calls set for each row of b that is missing from a or differs there,
// and removed for each name that exists only in a.
func diffTables[T row](a, b *table[T], set func(*T), removed func(string)) {
	i := 0
	for _, r := range b.rows {
		for i < len(a.rows) && (*a.rows[i]).Name() < (*r).Name() {
			removed((*a.rows[i]).Name())
			i++
		}
		if i == len(a.rows) || (*a.rows[i]).Name() != (*r).Name() {
			set(r)
			continue
		}
		if a.rows[i] != r && *a.rows[i] != *r {
			set(r)
		}
		i++
	}
	for ; i < len(a.rows); i++ {
		removed((*a.rows[i]).Name())
	}
}
