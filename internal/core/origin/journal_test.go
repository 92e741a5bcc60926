package origin

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func record(k int, version string) Record {
	return Record{Key: KeyOf("a", fmt.Sprint(k)), Origin: Origin{Service: "s", Version: version}, TTL: StoredTTL}
}

// TestBatchesLoseNothing guards against records that are lost because a batch replaces one of the same slot, or because a write failed.
func TestBatchesLoseNothing(t *testing.T) {
	var j Journal
	stored := make(map[string][]Record)
	write := func(clock time.Duration, ok bool) {
		slot, batch := j.Next(clock)
		if len(batch) == 0 || !ok {
			return
		}
		data, err := EncodeBatch(batch)
		if err != nil {
			t.Fatal(err)
		}
		if stored[SlotKey(slot)], err = DecodeBatch(data); err != nil {
			t.Fatal(err)
		}
		j.Written(slot, batch)
	}
	count := 0
	add := func(n int) {
		for range n {
			j.Add(record(count, "v1"))
			count++
		}
	}
	for i, step := range []struct {
		add   int
		clock time.Duration
		ok    bool
	}{{3, 0, true}, {2, 100 * time.Millisecond, true}, {4, SlotTime, false}, {1, SlotTime, true}, {2, SlotTime + time.Millisecond, true}, {0, SlotTime + 2*time.Millisecond, true}, {maxBatch + 10, 2 * SlotTime, true}, {0, 2*SlotTime + 1, true}, {0, 3 * SlotTime, true}} {
		add(step.add)
		write(step.clock, step.ok)
		if step.clock < 2*SlotTime && step.ok && j.Pending() > 0 {
			t.Errorf("step %d: %d records pending after a write", i, j.Pending())
		}
	}
	found := make(map[Key]bool)
	for _, list := range stored {
		for _, r := range list {
			found[r.Key] = true
		}
	}
	if len(found) != count || j.Pending() != 0 {
		t.Errorf("%d of %d records are stored, %d pending", len(found), count, j.Pending())
	}
}

// TestSlotsCoverWaitingClients guards against batches that are replaced while their clients may still return, and against rows without
// a bound.
func TestSlotsCoverWaitingClients(t *testing.T) {
	keys := make(map[string]bool)
	for slot := range int64(10 * slots) {
		keys[SlotKey(slot)] = true
	}
	if len(keys) != slots {
		t.Errorf("%d rows for a process, want %d", len(keys), slots)
	}
	if covered := slots * SlotTime; covered < 20*time.Second || covered > StoredTTL {
		t.Errorf("batches last for %v", covered)
	}
}

// TestStreamsThatBegan guards against streams that are not stored when a second version comes, because they began before, and against
// records that are kept without a bound.
func TestStreamsThatBegan(t *testing.T) {
	var j Journal
	now := time.Unix(1000, 0)
	for k := range 5 {
		j.Began(now.Add(time.Duration(k)*10*time.Second), record(k, "v1"))
	}
	now = now.Add(40 * time.Second)
	if got := j.BeganAt(now, "s"); len(got) != 4 || got[0].Key != record(1, "").Key {
		t.Errorf("%d records of streams, want the 4 of the last 30 s", len(got))
	}
	if got := j.BeganAt(now, "other"); len(got) != 0 {
		t.Errorf("%d records of another service", len(got))
	}
	for k := range 3 * maxPending {
		j.Began(now, record(k, "v1"))
		j.Add(record(k, "v1"))
	}
	if len(j.began) > maxPending || j.Pending() > maxPending {
		t.Errorf("%d and %d records are held, want at most %d", len(j.began), j.Pending(), maxPending)
	}
}

// TestInvalidBatches guards against bytes of another writer that end the process or are read as records.
func TestInvalidBatches(t *testing.T) {
	for _, text := range []string{"", "null1", "[]", `{"streams":[{"service":"s","keys":"AAAA"}]}`, `{"streams":[{"service":"","keys":"AAAAAAAAAAAAAAAAAAAAAA=="}]}`, `{"streams":7}`} {
		if records, err := DecodeBatch([]byte(text)); err == nil {
			t.Errorf("%q is read as %d records", text, len(records))
		}
	}
}

// TestKeepersAreFew guards against a number of writers that grows with the number of nodes, and against nodes that choose different ones.
func TestKeepersAreFew(t *testing.T) {
	for _, size := range []int{1, 3, 300} {
		nodes := make([]Node, size)
		for i := range nodes {
			nodes[i] = Node{Name: fmt.Sprint("node-", i)}
		}
		all := MembersOf(nodes)
		slices.Reverse(nodes)
		reversed, count := MembersOf(nodes), make(map[string]int)
		for k := range 4000 {
			key := KeyOf("a", fmt.Sprint(k))
			if all.Keeper(key) != reversed.Keeper(key) {
				t.Fatalf("%d nodes: another keeper in another order", size)
			}
			count[all.Keeper(key)]++
		}
		if want := min(size, keeperCount); len(count) != want {
			t.Errorf("%d nodes: %d keepers, want %d", size, len(count), want)
		}
		for name, n := range count {
			if n*len(count) < 4000/2 {
				t.Errorf("%d nodes: %s keeps %d of 4000 records", size, name, n)
			}
		}
	}
	if got := (Members{}).Keeper(Key{}); got != "" {
		t.Errorf("no members: keeper %q", got)
	}
}
