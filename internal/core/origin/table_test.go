package origin

import (
	"fmt"
	"testing"
	"time"
)

func recordOf(id, version string) Record {
	return Record{Key: KeyOf("account", id), Origin: Origin{Service: "s", Version: version}, TTL: 20 * time.Second}
}

// TestAccountsAreSeparate guards against a client that finds or changes the streams of another account by
// naming their IDs.
func TestAccountsAreSeparate(t *testing.T) {
	now, table := time.Unix(1000, 0), NewTable(10)
	table.Put(now, recordOf("a", "v1"))
	if _, ok := table.Get(now, KeyOf("other", "a")); ok {
		t.Error("another account found the record")
	}
	if _, ok := table.Get(now, KeyOf("accounta", "")); ok {
		t.Error("the account and the ID can be divided in another way")
	}
}

// TestDifferingOriginsAreAmbiguous guards against a stream that goes on at either of two versions, after an
// ID was used for two streams.
func TestDifferingOriginsAreAmbiguous(t *testing.T) {
	now, table := time.Unix(1000, 0), NewTable(10)
	table.Put(now, recordOf("a", "v1"))
	table.Put(now, recordOf("a", "v1"))
	if r, ok := table.Get(now, KeyOf("account", "a")); !ok || r.Ambiguous {
		t.Errorf("the same record twice: %+v, %v", r, ok)
	}
	table.Put(now, recordOf("a", "v2"))
	table.Put(now, recordOf("a", "v1"))
	if r, _ := table.Get(now, KeyOf("account", "a")); !r.Ambiguous {
		t.Errorf("records of two versions: %+v", r)
	}
}

// TestRecordsExpire guards against records that are lost before their clients' deadline, kept forever, or
// kept as long as a client likes.
func TestRecordsExpire(t *testing.T) {
	now, table := time.Unix(1000, 0), NewTable(10)
	table.Put(now, recordOf("a", "v1"))
	if _, ok := table.Get(now.Add(19*time.Second), KeyOf("account", "a")); !ok {
		t.Error("lost before its time")
	}
	table.Put(now.Add(10*time.Second), recordOf("a", "v1"))
	if r, ok := table.Get(now.Add(25*time.Second), KeyOf("account", "a")); !ok || r.TTL != 5*time.Second {
		t.Errorf("a later attempt doesn't extend it: %+v, %v", r, ok)
	}
	if _, ok := table.Get(now.Add(31*time.Second), KeyOf("account", "a")); ok {
		t.Error("kept after its time")
	}
	long := recordOf("b", "v1")
	long.TTL = 1000 * time.Hour
	table.Put(now.Add(32*time.Second), long)
	table.Put(now.Add(33*time.Second+MaxTTL), recordOf("c", "v1"))
	if n := table.Len(); n != 1 {
		t.Errorf("%d records are left, want 1", n)
	}
}

// TestFloodIsBounded guards against a table that grows with the number of streams, and against one that
// drops the newest ones, whose clients are the most likely to return.
func TestFloodIsBounded(t *testing.T) {
	now, table := time.Unix(1000, 0), NewTable(100)
	for i := range 1000 {
		table.Put(now, recordOf(fmt.Sprint(i), "v1"))
	}
	if n := table.Len(); n != 100 || table.Dropped() != 900 {
		t.Errorf("%d records, %d dropped", n, table.Dropped())
	}
	for i := 900; i < 1000; i++ {
		if _, ok := table.Get(now, KeyOf("account", fmt.Sprint(i))); !ok {
			t.Errorf("record %d is missing", i)
		}
	}
}
