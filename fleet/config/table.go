package config

import (
	"slices"
	"strings"
)

// row is an object with a name, comparable by content.
type row interface {
	comparable
	Name() string
}

// table holds rows in the order of their names. A copy shares the rows with
// its original until the first change, which copies the row pointers.
type table[T row] struct {
	rows  []*T
	owned bool
	// changed and removed tell what happened since the copy.
	changed []*T
	removed bool
}

// shared returns a copy that copies its rows before it changes them.
func (t table[T]) copyOnWrite() table[T] { return table[T]{rows: t.rows} }

// get returns the row of a name, or nil.
func (t *table[T]) get(name string) *T {
	i, ok := t.find(name)
	if !ok {
		return nil
	}
	return t.rows[i]
}

// put adds a row or replaces the one with its name.
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

// remove takes a row out and reports whether it was there.
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

// toCheck returns the rows that changed, or all of them where what they refer
// to may have gone.
func (t *table[T]) toCheck(all bool) []*T {
	if all {
		return t.rows
	}
	return t.changed
}

// touched reports whether a row was changed or removed.
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

// diffTables calls set for each row of b that a has not or has otherwise, and
// removed for each name that only a has.
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
