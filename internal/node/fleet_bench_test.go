package node

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/internal/wire"
	"gradetiller.example/platform"
)

// fleet is a deployment: its number of nodes, and of endpoints of a model service, a plain service
// and three stage services.
type fleet struct{ nodes, endpoints int }

var fleets = []fleet{{300, 3000}, {985, 9999}, {1970, 20000}}

// String implements fmt.Stringer.
func (f fleet) String() string { return fmt.Sprintf("%d-nodes-%d-endpoints", f.nodes, f.endpoints) }

// services returns the services of a fleet, and the share of the endpoints that each has.
func (f fleet) services() (map[string]catalog.Service, []string) {
	services := map[string]catalog.Service{
		"model": {Name: "model", Model: true, Slots: 16, PromptCache: catalog.PromptCache{Tokens: 424392, SupportsCopy: true}},
		"desk":  {Name: "desk", MaxConns: 820},
	}
	// 33 in 50 are models, 1 in 50 is plain, 16 in 50 are of the three stages.
	var pattern []string
	for i := range 50 {
		switch {
		case i < 33:
			pattern = append(pattern, "model")
		case i == 33:
			pattern = append(pattern, "desk")
		default:
			pattern = append(pattern, fmt.Sprint("stage", i%3))
		}
	}
	for k := range 3 {
		name := fmt.Sprint("stage", k)
		services[name] = catalog.Service{Name: name, Batching: &catalog.Batching{Slots: 1, Batch: 14, CallTime: 240 * time.Millisecond, ItemTime: 15 * time.Millisecond, ResultCapacity: 17e6, ResultTTL: 4 * time.Second}}
	}
	return services, pattern
}

// list returns the fleet's endpoints, each with strings of its own, as they come from the wire.
func (f fleet) list() []catalog.Endpoint {
	_, pattern := f.services()
	list := make([]catalog.Endpoint, f.endpoints)
	for i := range list {
		list[i] = catalog.Endpoint{
			ID: fmt.Sprintf("i-%08x@%d", i*2654435761, 1783246512345+i), Service: fmt.Sprint(pattern[i%len(pattern)]),
			Address: fmt.Sprintf("10.%d.%d.%d:8080", 128+i>>16, i>>8&255, i&255), Domain: fmt.Sprintf("hall-%c", 'a'+i%6),
			Slots: 16, ModRevision: catalog.NewRevision(0, uint64(1000+i)), Version: strings.Clone("v1"),
		}
	}
	return list
}

func (f fleet) entry(k int) wire.Entry {
	capacity := 192
	if k%16 == 0 {
		capacity = 1600
	}
	return wire.Entry{
		Node: fmt.Sprintf("front-hall-%c-%d", 'a'+k%6, k), Incarnation: uint64(1783246512345 + k), Address: fmt.Sprintf("10.1.%d.%d:8625", k>>8, k&255),
		PeerAddress: fmt.Sprintf("10.1.%d.%d:8628", k>>8, k&255), Domain: fmt.Sprintf("hall-%c", 'a'+k%6), Region: strings.Clone("kingston"), Capacity: capacity,
	}
}

// newFleetNode returns a small node of a fleet that knows all members and endpoints.
func newFleetNode(f fleet) *Node {
	self := f.entry(1)
	n := New(platform.Settings{Node: self.Node, Domain: self.Domain, Region: self.Region, PeerAddress: self.PeerAddress, HeartbeatInterval: 2 * time.Second, Millicores: 192, StoreAddress: "127.0.0.1:1"})
	now := time.Now()
	services, _ := f.services()
	cfg := &catalog.Config{Version: 1, Services: services, Routes: []catalog.Route{{Name: "r", Host: "h", Prefix: "/", Kind: catalog.Streaming, Backends: []catalog.Backend{{Service: "model", Weight: 1}}, Stages: []catalog.Stage{{Service: "stage0"}}}}}
	cfg.BuildIndex()
	v := *n.view.Load()
	v.config, v.file = cfg, &configFile{}
	v.evacuations = v.evacuations.Replace(now, 1, nil)
	n.view.Store(&v)
	for first := 0; first < f.nodes; first += 32 {
		var members []wire.Member
		for k := first; k < min(first+32, f.nodes); k++ {
			if k == 1 {
				continue
			}
			e := f.entry(k)
			members = append(members, wire.Member{Node: e.Node, Incarnation: e.Incarnation, Seq: 1, Address: e.PeerAddress, Domain: e.Domain, Region: e.Region, Entries: []wire.Entry{e}})
		}
		n.members.Receive(now, wire.Gossip{Node: f.entry(0).Node, Incarnation: f.entry(0).Incarnation, Members: members})
	}
	n.members.Tick(now)
	n.applyEntries(n.members.Entries())
	n.applyDelta(now, discovery.Delta{Revision: 100000, Full: true, Changed: f.list()})
	return n
}

// applyDelta applies the answer of a reader as of a time.
func (n *Node) applyDelta(at time.Time, d discovery.Delta) {
	n.updateEndpoints(sourcePeer, discovery.Freshness{List: at}, func() bool { return n.list.ApplyDelta(at, d) })
}

// BenchmarkFleetHeap measures the heap of a node that knows a whole fleet and is idle.
func BenchmarkFleetHeap(b *testing.B) {
	for _, f := range fleets {
		b.Run(f.String(), func(b *testing.B) {
			for b.Loop() {
				before := heapInUse()
				n := newFleetNode(f)
				b.ReportMetric(float64(heapInUse()-before)/1e6, "MB")
				runtime.KeepAlive(n)
			}
		})
	}
}

func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkFleetEndpointChanged measures how long a node of a fleet takes to apply the change of one
// endpoint, and how much it allocates for that.
func BenchmarkFleetEndpointChanged(b *testing.B) {
	for _, f := range append([]fleet{{24, 365}}, fleets...) {
		b.Run(f.String(), func(b *testing.B) {
			n := newFleetNode(f)
			list := f.list()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				e := list[i*7919%len(list)]
				e.Draining = i/len(list)%2 == 0
				revision := catalog.Revision(100001 + i)
				e.ModRevision = revision
				n.applyDelta(time.Now(), discovery.Delta{Revision: revision, Changed: []catalog.Endpoint{e}})
			}
		})
	}
}

// BenchmarkFleetListReceived measures the bytes of the whole list that a node receives when it
// starts, and what it allocates to apply them.
func BenchmarkFleetListReceived(b *testing.B) {
	for _, f := range fleets {
		b.Run(f.String(), func(b *testing.B) {
			reader := newFleetNode(f)
			var frame []byte
			reader.handleViewRequest(&wire.ViewRequest{AcceptsPacked: true, AcceptsPackedWorkers: true}, func(m wire.Message) (err error) {
				frame, err = wire.Append(nil, m)
				return err
			})
			b.ReportAllocs()
			for b.Loop() {
				n := New(platform.Settings{Node: "a", HeartbeatInterval: 2 * time.Second, StoreAddress: "127.0.0.1:1"})
				m, err := wire.Read(bytes.NewReader(frame))
				if err != nil {
					b.Fatal(err)
				}
				n.applyView(m.(*wire.View))
				if got := n.view.Load().endpoints.Len(); got != f.endpoints {
					b.Fatalf("%d endpoints applied, want %d", got, f.endpoints)
				}
			}
			b.ReportMetric(float64(len(frame))/1e6, "MB/list")
		})
	}
}
