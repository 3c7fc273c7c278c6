package controller

import (
	"iter"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// tableShards is the number of maps that a Table is split into. A change copies
// only one of them, about 1/64 of the entries.
const tableShards = 64

// Table is an immutable (persistent) map from names to values. With and Without
// return a modified copy that shares all unmodified shards. The zero value is an
// empty table. A Table is safe for concurrent use.
type Table[V any] struct {
	// Invariant: neither the array nor a map is changed once it is reachable
	// from a Table. The array is behind a pointer, because a State holds many
	// tables and is passed by value. Nil means an empty table.
	shards *[tableShards]map[string]V
	// Invariant: the total number of entries over all shards.
	size int
}

func shardOf(name string) int {
	return int(xxhash.Sum64String(name) % tableShards)
}

// newTable returns a table of the given names and values. It builds all shards
// at once, whereas With would copy a shard for each value.
func newTable[V any](values iter.Seq2[string, V]) Table[V] {
	var t Table[V]
	shards := t.copyShards()
	for name, v := range values {
		i := shardOf(name)
		if shards[i] == nil {
			shards[i] = make(map[string]V)
		}
		if _, ok := shards[i][name]; !ok {
			t.size++
		}
		shards[i][name] = v
	}
	t.shards = shards
	return t
}

// keyedBy yields each value of the list with the key that the function returns for it.
func keyedBy[V any](list []V, key func(V) string) iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, v := range list {
			if !yield(key(v), v) {
				return
			}
		}
	}
}

// Get returns the value stored under name and whether there is one.
func (t Table[V]) Get(name string) (V, bool) {
	if t.shards == nil {
		var none V
		return none, false
	}
	v, ok := t.shards[shardOf(name)][name]
	return v, ok
}

// Len returns the number of entries.
func (t Table[V]) Len() int {
	return t.size
}

// With returns a copy of the table that holds v under name.
func (t Table[V]) With(name string, v V) Table[V] {
	i := shardOf(name)
	shards := t.copyShards()
	shards[i] = maps.Clone(shards[i])
	if shards[i] == nil {
		shards[i] = make(map[string]V, 1)
	}
	if _, ok := shards[i][name]; !ok {
		t.size++
	}
	shards[i][name] = v
	t.shards = shards
	return t
}

// Without returns a copy of the table without the entry for name.
func (t Table[V]) Without(name string) Table[V] {
	if _, ok := t.Get(name); !ok {
		return t
	}
	i := shardOf(name)
	shards := t.copyShards()
	shards[i] = maps.Clone(shards[i])
	delete(shards[i], name)
	t.shards = shards
	t.size--
	return t
}

// copyShards returns a new array with the same maps.
func (t Table[V]) copyShards() *[tableShards]map[string]V {
	var shards [tableShards]map[string]V
	if t.shards != nil {
		shards = *t.shards
	}
	return &shards
}

// All yields every entry in no particular order.
func (t Table[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if t.shards == nil {
			return
		}
		for _, shard := range t.shards {
			for name, v := range shard {
				if !yield(name, v) {
					return
				}
			}
		}
	}
}

// Names returns all names, sorted.
func (t Table[V]) Names() []string {
	names := make([]string, 0, t.size)
	for name := range t.All() {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Values returns all values, sorted by their names.
func (t Table[V]) Values() []V {
	values := make([]V, 0, t.size)
	for _, name := range t.Names() {
		v, _ := t.Get(name)
		values = append(values, v)
	}
	return values
}
