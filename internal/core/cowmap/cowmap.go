// Package cowmap provides an immutable map whose copies share most of their memory.
//
// A Map is divided into shards by the hash of the keys. A changed copy has new shards only for the
// keys that changed, so that a change costs what changed, and two maps are compared by looking only
// at the shards in which they differ (Diff). Values hold their own keys, so that keys are not stored
// twice.
//
// # Usage
//
//	var endpoints cowmap.Map[*Endpoint]
//	next := endpoints.With(changed, removedKeys)
//	set, removed := cowmap.Diff(endpoints, next)
//	e, ok := next.Get("i-1")
//	for e := range next.All() { ... }
package cowmap

import (
	"cmp"
	"iter"
	"slices"

	"gradetiller.example/internal/core/hash"
)

// shardCount divides 10,000 entries into shards of about 80.
const shardCount = 128

// Value is a value that knows its key.
type Value interface {
	comparable
	// Key returns the key. It must not change.
	Key() string
}

// Map is an immutable map from keys to values. The zero value is empty.
type Map[V Value] struct {
	// shards holds the values of each shard, sorted by key; it is nil if the map is empty.
	shards *[shardCount][]V
	count  int
}

// Collect returns a map of values. Of several with the same key, the last one counts.
func Collect[V Value](values iter.Seq[V]) Map[V] {
	return Map[V]{}.With(slices.Collect(values), nil)
}

func shardOf(key string) int { return int(hash.Of(key) % shardCount) }

func find[V Value](shard []V, key string) (int, bool) {
	return slices.BinarySearchFunc(shard, key, func(v V, key string) int { return cmp.Compare(v.Key(), key) })
}

// Len returns the number of values.
func (m Map[V]) Len() int { return m.count }

// Get returns the value of a key.
func (m Map[V]) Get(key string) (value V, ok bool) {
	if m.shards == nil {
		return value, false
	}
	shard := m.shards[shardOf(key)]
	i, ok := find(shard, key)
	if ok {
		value = shard[i]
	}
	return value, ok
}

// All yields all values. Maps with the same keys yield them in the same order.
func (m Map[V]) All() iter.Seq[V] {
	return func(yield func(V) bool) {
		if m.shards == nil {
			return
		}
		for _, shard := range m.shards {
			for _, v := range shard {
				if !yield(v) {
					return
				}
			}
		}
	}
}

// With returns a copy without the removed keys and then with the given values set.
func (m Map[V]) With(set []V, removed []string) Map[V] {
	if len(set) == 0 && len(removed) == 0 {
		return m
	}
	var next [shardCount][]V
	if m.shards != nil {
		next = *m.shards
	}
	changes := make(map[int]*shardChange[V])
	for _, key := range removed {
		c := changeOf(changes, shardOf(key))
		c.removed = append(c.removed, key)
	}
	for _, v := range set {
		c := changeOf(changes, shardOf(v.Key()))
		c.set = append(c.set, v)
	}
	count := m.count
	for k, c := range changes {
		before := len(next[k])
		next[k] = c.apply(next[k])
		count += len(next[k]) - before
	}
	return Map[V]{shards: &next, count: count}
}

// shardChange holds the changes of one shard.
type shardChange[V Value] struct {
	set     []V
	removed []string
}

func changeOf[V Value](changes map[int]*shardChange[V], k int) *shardChange[V] {
	if changes[k] == nil {
		changes[k] = &shardChange[V]{}
	}
	return changes[k]
}

// apply returns a changed copy of a shard.
func (c *shardChange[V]) apply(shard []V) []V {
	next := make([]V, 0, len(shard)+len(c.set))
	next = append(next, shard...)
	for _, key := range c.removed {
		if i, ok := find(next, key); ok {
			next = slices.Delete(next, i, i+1)
		}
	}
	slices.SortStableFunc(c.set, func(a, b V) int { return cmp.Compare(a.Key(), b.Key()) })
	for _, v := range c.set {
		i, ok := find(next, v.Key())
		if ok {
			next[i] = v
			continue
		}
		next = slices.Insert(next, i, v)
	}
	return slices.Clip(next)
}

// Diff returns the values that are new or different in b, and those of a whose keys b lacks.
func Diff[V Value](a, b Map[V]) (set, removed []V) {
	if a.shards == b.shards {
		return nil, nil
	}
	for k := range shardCount {
		var before, after []V
		if a.shards != nil {
			before = a.shards[k]
		}
		if b.shards != nil {
			after = b.shards[k]
		}
		if len(before) == len(after) && (len(before) == 0 || &before[0] == &after[0]) {
			continue
		}
		set, removed = diffShard(before, after, set, removed)
	}
	return set, removed
}

// diffShard appends the differences of two sorted shards.
func diffShard[V Value](before, after, set, removed []V) (newSet, newRemoved []V) {
	i, k := 0, 0
	for i < len(before) || k < len(after) {
		switch order := compareHeads(before[i:], after[k:]); {
		case order < 0:
			removed = append(removed, before[i])
			i++
		case order > 0:
			set = append(set, after[k])
			k++
		default:
			if before[i] != after[k] {
				set = append(set, after[k])
			}
			i++
			k++
		}
	}
	return set, removed
}

// compareHeads compares the first keys of two lists; an empty list comes last.
func compareHeads[V Value](a, b []V) int {
	switch {
	case len(a) == 0:
		return 1
	case len(b) == 0:
		return -1
	}
	return cmp.Compare(a[0].Key(), b[0].Key())
}
