// Package policy provides a registry of scheduling and placement policies, which
// the configuration refers to by name.
//
// # Usage
//
// A policy is implemented in a file of its own and registered by its name:
//
//	var policies = policy.NewRegistry[Policy]()
//	func init() { policies.Register("fifo", fifo) }
package policy

import (
	"fmt"
	"slices"
)

// Registry maps names to policies of one kind. Only init functions may call
// Register; afterwards the registry is only read and needs no lock.
type Registry[P any] struct {
	byName map[string]P
}

// NewRegistry returns an empty registry.
func NewRegistry[P any]() *Registry[P] {
	return &Registry[P]{byName: make(map[string]P)}
}

// Register adds a policy. It panics if the name is already registered.
func (r *Registry[P]) Register(name string, p P) {
	if _, ok := r.byName[name]; ok {
		panic(fmt.Sprintf("policy %q is registered twice", name))
	}
	r.byName[name] = p
}

// Lookup returns the policy of that name.
func (r *Registry[P]) Lookup(name string) (P, bool) {
	p, ok := r.byName[name]
	return p, ok
}

// Names returns the registered names in alphabetical order.
func (r *Registry[P]) Names() []string {
	names := make([]string, 0, len(r.byName))
	for name := range r.byName {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
