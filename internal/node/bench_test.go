package node

import (
	"fmt"
	"testing"
	"time"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/discovery"
	"gradetiller.example/platform"
)

// BenchmarkViewChanged measures how long it takes to apply a view of 3,000 endpoints in five
// services.
func BenchmarkViewChanged(b *testing.B) {
	n := New(platform.Settings{Node: "a", HeartbeatInterval: time.Second})
	v := &view{config: &catalog.Config{Version: 1, Services: make(map[string]catalog.Service)}}
	var list []catalog.Endpoint
	for s := range 5 {
		name := fmt.Sprint("s", s)
		v.config.Services[name] = catalog.Service{Name: name, Model: s == 0}
		for i := range 600 {
			list = append(list, catalog.Endpoint{ID: fmt.Sprintf("i-%d-%d", s, i), Service: name, Domain: "d", Slots: 8})
		}
	}
	v.endpoints = catalog.EndpointsOf(list)
	v.evacuations = discovery.Evacuations{}.Replace(time.Now(), 1, nil)
	v.freshness.List = time.Now()
	n.view.Store(v)
	for b.Loop() {
		n.updatePools()
	}
}
