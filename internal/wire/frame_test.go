package wire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

var samples = []Message{
	Hello{Version: 1, System: "s", Role: RoleEntry, Node: "n1", Incarnation: 7},
	Gossip{Node: "n1", ViewHash: 9, Members: []Member{{Node: "n2", State: Suspect, Entries: []Entry{{Node: "n2", Leaving: true}}}}, Listing: []RecordVersion{{Node: "n3", Seq: 4}}},
	ConfigRequest{Above: 3},
	ConfigFile{Version: 4, Digest: "d", Data: []byte("x")},
	EntryStatus{Entry: Entry{Node: "n1"}, Impaired: []string{"i"}},
	Snapshot{Entries: []Entry{{Node: "n1"}}, Endpoints: []Endpoint{{Pool: "p", Name: "e", Leaving: true, Seq: 1}}},
	Start{ID: 1, Key: "k", Token: "t"},
	Started{ID: 1, Result: 2},
	ExplainRequest{ID: 1, Subject: "s"},
	ExplainResponse{ID: 1, Lines: []string{"l"}},
	Gossip{Node: "n1", Refused: []Refusal{{Request: []byte("r"), Version: 2, Remaining: -5, Count: 3, Cleared: true}}, RefusedSum: 1 << 63},
	Gossip{Node: "n1", Draining: &Draining{Sum: 7, Updates: []DrainingEndpoint{{Endpoint: "e", Age: 3}}}},
	Gossip{Node: "n1", RateLimits: &RateLimits{Sum: 1 << 63, Updates: []RateLimit{{Endpoint: "e", Bounded: true, PerSecond: 0.5, Age: 3}, {Endpoint: "f"}}}},
	CrashReports{Reports: []CrashReport{{Request: []byte("r"), Served: true, Crashes: []EndpointCrash{{Endpoint: "e", Address: "a", ServiceSize: 3, Confirmed: true, Alive: true}}}}},
	Hello{Version: 1, System: "s", Role: RoleNode, Node: "n1", Incarnation: 7, Kinds: Kinds},
	StandbyState{Cell: 3, Tasks: []StandbyTasks{{Node: "n1", Incarnation: 7, Packed: []byte("p")}}, Ended: true, Snapshot: true, Shares: []byte("s"), Bookings: []byte("b"), Retries: []StandbyRetries{{Service: "x", Requests: []int{5, 1}, Retries: []int{0, 1}}}},
	LeaderChanged{Cell: 3, Lost: "n1", LostIncarnation: 7},
	RelayOpen{Endpoint: "e"},
	RelayOpened{Result: RelayUnavailable},
	RelayBackoff{Endpoint: "e", Remaining: 300},
	StreamOrigins{Origins: []StreamOrigin{{Key: []byte("k"), Service: "s", Version: "v", Remaining: 9, Ambiguous: true}}},
	StreamOrigins{Origins: []StreamOrigin{{Key: []byte("k")}}, Keep: true},
	StreamOriginRequest{ID: 1, Key: []byte("k")},
	PartCrashReports{Reports: []CrashReport{{Request: []byte("0123456789abcdef"), Crashes: []EndpointCrash{{Endpoint: "e/1", Age: 40, Companions: [][]byte{[]byte("k")}}}}}},
	StreamOriginResponse{ID: 1, Found: true, Origin: StreamOrigin{Key: []byte("k"), Version: "v"}},
}

// TestOtherVersions checks that heartbeats of nodes of other versions are accepted: those of an
// earlier version, which end before the refused requests and whose entries have no capacity, and
// those of a later one, which have more fields.
func TestOtherVersions(t *testing.T) {
	type entry struct {
		Node        string
		Incarnation uint64
		Address     string
	}
	type member struct {
		Node        string
		Incarnation uint64
		Seq         uint64
		State       State
		Address     string
		Domain      string
		Region      string
		Entries     []entry
	}
	type earlier struct {
		Node          string
		Incarnation   uint64
		ViewHash      uint64
		ConfigVersion uint64
		Members       []member
		Endpoints     []Endpoint
		Listing       []RecordVersion
		Courtesy      bool
		Answer        bool
		ListRevision  uint64
	}
	type later struct {
		Gossip
		Further string
		More    []Entry
	}
	current := Gossip{Node: "n2", Members: []Member{{Node: "n3", Entries: []Entry{{Node: "n3", Capacity: 400}}}}, RefusedSum: 5}
	cases := map[string]struct {
		sent any
		want Gossip
	}{
		"earlier": {
			sent: earlier{Node: "n1", Members: []member{{Node: "n1", Entries: []entry{{Node: "n1", Address: "a"}}}}, ListRevision: 7},
			want: Gossip{Node: "n1", Members: []Member{{Node: "n1", Entries: []Entry{{Node: "n1", Address: "a"}}}}, ListRevision: 7},
		},
		"later": {sent: later{Gossip: current, Further: "x", More: []Entry{{Node: "y"}}}, want: current},
	}
	for name, c := range cases {
		var body bytes.Buffer
		enc := msgpack.NewEncoder(&body)
		enc.UseArrayEncodedStructs(true)
		if err := enc.Encode(c.sent); err != nil {
			t.Fatal(err)
		}
		frame := binary.BigEndian.AppendUint32(nil, uint32(body.Len()+1))
		frame = append(frame, byte(kindGossip))
		got, err := Read(bytes.NewReader(append(frame, body.Bytes()...)))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if !reflect.DeepEqual(*got.(*Gossip), c.want) {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}

// TestRoundTrip checks that every message is decoded as it was encoded.
func TestRoundTrip(t *testing.T) {
	var buf bytes.Buffer
	for _, m := range samples {
		if err := Write(&buf, m); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range samples {
		got, err := Read(&buf)
		if err != nil {
			t.Fatalf("%T: %v", want, err)
		}
		if !reflect.DeepEqual(reflect.ValueOf(got).Elem().Interface(), want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}

// TestBadFrames checks that frames with an invalid length, type or body are errors.
func TestBadFrames(t *testing.T) {
	for name, frame := range map[string][]byte{
		"empty":     {0, 0, 0, 0, 1},
		"oversized": {0xff, 0xff, 0xff, 0xff, 1},
		"unknown":   {0, 0, 0, 2, 99, 0},
		"body":      {0, 0, 0, 2, byte(kindGossip), 0xc1},
		// Declares 2.5 billion entries in 9 bytes. The codec would allocate them before it reads
		// the first one.
		"elements": {0, 0, 0, 9, byte(kindSnapshot), 0x96, 0xc2, 0xc0, 0xdd, 0x97, 0xa2, 0x30, 0x30},
	} {
		if _, err := Read(bytes.NewReader(frame)); !errors.Is(err, ErrFrame) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := Read(bytes.NewReader([]byte{0, 0, 0, 9, 1, 0})); err == nil {
		t.Error("a truncated frame was accepted")
	}
}

// FuzzRead checks that no input makes Read panic or allocate without bound, and that a message
// that it returns can be encoded again.
func FuzzRead(f *testing.F) {
	for _, m := range samples {
		frame, err := Append(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(frame)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		if _, err := Append(nil, m); err != nil {
			t.Fatalf("%T cannot be encoded again: %v", m, err)
		}
	})
}

// TestUnknownKinds guards against messages that an earlier version does not know, on which it would
// close the connection, and against a Hello that an earlier version can't read.
func TestUnknownKinds(t *testing.T) {
	earlier := Hello{Version: Version, Node: "n1"}
	if earlier.Knows(StandbyState{}) || earlier.Knows(&LeaderChanged{}) {
		t.Error("a node of the earlier version knows the messages of a standby")
	}
	if (Hello{Kinds: int(kindLeaderChanged)}).Knows(RelayOpen{}) {
		t.Error("a node of the version before relays knows their messages")
	}
	current := Hello{Kinds: Kinds}
	for _, m := range samples {
		if !current.Knows(m) {
			t.Errorf("a node of this version doesn't know %T", m)
		}
	}
	for _, m := range samples {
		if newMessage(m.kind()) == nil {
			t.Errorf("%T can't be received", m)
		}
	}
	var body bytes.Buffer
	enc := msgpack.NewEncoder(&body)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(Hello{Node: "n2", Incarnation: 4, Kinds: Kinds}); err != nil {
		t.Fatal(err)
	}
	var read struct {
		Version     int
		System      string
		Role        Role
		Node        string
		Incarnation uint64
	}
	fitted, err := fit(body.Bytes(), reflect.TypeOf(read))
	if err != nil {
		t.Fatal(err)
	}
	if err := msgpack.Unmarshal(fitted, &read); err != nil || read.Node != "n2" || read.Incarnation != 4 {
		t.Errorf("an earlier version reads %+v, %v", read, err)
	}
}
