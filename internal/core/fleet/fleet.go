// Package fleet decides which engines are ordered to load which model versions.
//
// It is level-triggered: every round compares the configuration with the status that
// the engines report, so a lost round, or a lease holder that dies between two orders,
// only costs time. The configuration is the desired state and is stored before any
// order is sent. Orders state the complete set of versions and carry an operation id
// that is the same for the same set, so an order that is sent twice loads once.
//
// # Usage
//
//	orders := fleet.Plan(version, engines, statuses)
package fleet

import (
	"fmt"
	"hash/fnv"
	"slices"
)

// MaxLoads bounds the number of engines that load at the same time, since all load
// from one rate-limited weight store.
const MaxLoads = 2

// Engine is an engine and the versions that the configuration assigns to it.
type Engine struct {
	Name    string
	Address string
	Wanted  []string
	// ChecksEpoch is true if the engine rejects orders of an earlier epoch.
	ChecksEpoch bool
}

// Status is the status that an engine reports.
type Status struct {
	Versions []string
	Loading  bool
}

// Order instructs an engine to hold exactly the versions of Engine.Wanted.
type Order struct {
	Engine      Engine
	OperationID string
}

// Plan returns the orders of this round, in the order of engines. Engines without a
// status get no order.
func Plan(version uint64, engines []Engine, statuses map[string]Status) []Order {
	loading := 0
	for _, s := range statuses {
		if s.Loading {
			loading++
		}
	}
	var orders []Order
	for _, e := range engines {
		s, ok := statuses[e.Name]
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

// operation returns the operation id of an order: the same engine, versions and
// configuration give the same id.
func operation(version uint64, e Engine) string {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%s/%q", version, e.Name, e.Wanted)
	return fmt.Sprintf("load-%016x", h.Sum64())
}
