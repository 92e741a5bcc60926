package cowmap

import (
	"maps"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	_ "gradetiller.example/internal/fixedseed"
)

type item struct {
	key   string
	value int
}

func (i *item) Key() string { return i.key }

// TestAgainstBuiltinMap compares random changes with those of a built-in map, and the differences of
// successive maps with what changed.
func TestAgainstBuiltinMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Map[*item]
		want := map[string]*item{}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			var set []*item
			var removed []string
			before := maps.Clone(want)
			for _, k := range rapid.SliceOfN(rapid.IntRange(0, 400), 0, 40).Draw(t, "removed") {
				removed = append(removed, strconv.Itoa(k))
				delete(want, strconv.Itoa(k))
			}
			for _, k := range rapid.SliceOfN(rapid.IntRange(0, 400), 0, 40).Draw(t, "set") {
				v := &item{key: strconv.Itoa(k), value: rapid.Int().Draw(t, "value")}
				set = append(set, v)
				want[v.key] = v
			}
			next := m.With(set, removed)
			if next.Len() != len(want) {
				t.Fatalf("%d values, want %d", next.Len(), len(want))
			}
			for v := range next.All() {
				if got, ok := next.Get(v.key); want[v.key] != v || !ok || got != v {
					t.Fatalf("%s is %v, want %v", v.key, got, want[v.key])
				}
			}
			changed, gone := Diff(m, next)
			for _, v := range changed {
				if want[v.key] != v || before[v.key] == v {
					t.Fatalf("%s is listed as changed", v.key)
				}
				before[v.key] = v
			}
			for _, v := range gone {
				if before[v.key] != v {
					t.Fatalf("%s is listed as removed", v.key)
				}
				delete(before, v.key)
			}
			if !maps.Equal(before, want) {
				t.Fatal("the differences don't lead from one map to the next")
			}
			m = next
		}
	})
}

// TestCopiesAreIndependent guards against a change that shows in the map that it was made from.
func TestCopiesAreIndependent(t *testing.T) {
	var values []*item
	for k := range 1000 {
		values = append(values, &item{key: strconv.Itoa(k)})
	}
	m := Collect(slices.Values(values))
	m.With([]*item{{key: "5", value: 7}}, []string{"6"})
	for _, v := range values {
		if got, ok := m.Get(v.key); !ok || got != v {
			t.Errorf("%s is %v, want %v", v.key, got, v)
		}
	}
	if _, ok := m.Get("1000"); ok || m.Len() != 1000 {
		t.Error("the map has a value that it was not given")
	}
}

// BenchmarkWith measures the change of one value, by the size of the map.
func BenchmarkWith(b *testing.B) {
	for _, size := range []int{365, 3000, 10_000, 20_000} {
		b.Run(strconv.Itoa(size), func(b *testing.B) {
			var values []*item
			for k := range size {
				values = append(values, &item{key: strconv.Itoa(k)})
			}
			m := Collect(slices.Values(values))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				m = m.With([]*item{{key: strconv.Itoa(i % size), value: i}}, nil)
			}
		})
	}
}
