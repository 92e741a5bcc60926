package entry

import (
	"testing"

	"gradetiller.example/internal/wire"
)

// TestEntriesBeforeConfigurationAreKept checks that a node keeps the entries
// that it received before its first configuration. The snapshot with the
// configuration says only that the entries are the same.
func TestEntriesBeforeConfigurationAreKept(t *testing.T) {
	s := newSystem(t, 1)
	n := NewNode(Identity{Node: "late", Address: "127.0.0.1:1", Region: "r"})
	others := []wire.Entry{{Node: "late", Address: "127.0.0.1:1", Region: "r"}, {Node: "other", Address: "127.0.0.1:2", Region: "r"}}
	for _, snapshot := range []wire.Snapshot{
		{Entries: others, Settled: true},
		{Unchanged: true, Settled: true},
		{Unchanged: true, Settled: true, Config: wire.ConfigFile{Version: 1, Data: s.cfg.Data()}},
	} {
		if err := n.Apply(snapshot); err != nil {
			t.Fatal(err)
		}
	}
	if got := len(n.table.Load().Entries("a", "r", "")); got != 2 {
		t.Fatalf("locate names %d entries, want 2", got)
	}
}

// TestOlderConfigurationIsIgnored checks that a configuration with a lower
// version than the active one is not applied.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	s := newSystem(t, 1)
	n := s.nodes[0]
	s.apply(5)
	s.apply(3)
	if v := n.Version(); v != 5 {
		t.Fatalf("version %d after 5 and 3", v)
	}
}

// TestUnsettledSnapshotRemovesNoEntries checks that a snapshot of a control
// process that has just started, and knows only some of its peers, removes no
// entries, and that a settled snapshot does.
func TestUnsettledSnapshotRemovesNoEntries(t *testing.T) {
	s := newSystem(t, 3)
	n := s.nodes[0]
	if err := n.Apply(wire.Snapshot{Entries: []wire.Entry{n.Self()}}); err != nil {
		t.Fatal(err)
	}
	if got := len(n.Entries()); got != 3 {
		t.Fatalf("%d entries are known, want 3", got)
	}
	if err := n.Apply(wire.Snapshot{Entries: []wire.Entry{n.Self()}, Settled: true}); err != nil {
		t.Fatal(err)
	}
	if got := len(n.Entries()); got != 1 {
		t.Fatalf("%d entries are known after a settled view of one", got)
	}
}
