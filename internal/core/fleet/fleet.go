// Package fleet decides which engines are ordered to load which model
// versions.
//
// It is level-triggered: every round compares what the configuration wants
// with what the engines report, so a round that was lost, or a holder that
// died between two orders, costs time only. The configuration is the intent;
// it is stored before any order goes out. Orders state the wanted set and carry
// an operation id that is the same for the same wish, so an order that is sent
// twice loads once.
//
// # Usage
//
//	orders := fleet.Plan(version, engines, seen)
package fleet

import (
	"fmt"
	"hash/fnv"
	"slices"
)

// MaxLoads bounds the engines that load at the same time, since all load from
// one rate-limited weight store.
const MaxLoads = 2

// Engine is one engine and the versions that the configuration wants there.
type Engine struct {
	Name    string
	Address string
	Wanted  []string
	// ChecksEpoch is true if the engine refuses orders of an earlier epoch.
	ChecksEpoch bool
}

// Status is an engine's own report.
type Status struct {
	Versions []string
	Loading  bool
}

// Order asks an engine to hold exactly a set of versions.
type Order struct {
	Engine      Engine
	OperationID string
}

// Plan returns the orders of this round, in the engines' order. Engines
// without a report are left alone.
func Plan(version uint64, engines []Engine, seen map[string]Status) []Order {
	loading := 0
	for _, s := range seen {
		if s.Loading {
			loading++
		}
	}
	var orders []Order
	for _, e := range engines {
		s, ok := seen[e.Name]
		if !ok || s.Loading || sameSet(s.Versions, e.Wanted) {
			continue
		}
		if loading >= MaxLoads {
			break
		}
		loading++
		orders = append(orders, Order{Engine: e, OperationID: operation(version, e)})
	}
	return orders
}

func sameSet(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}

// operation names a wish: the same engine, versions and configuration give
// the same id.
func operation(version uint64, e Engine) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%s/%q", version, e.Name, e.Wanted)
	return fmt.Sprintf("load-%016x", h.Sum64())
}
