// Package policy holds the registry through which scheduling and placement
// policies are found by the name that a configuration gives.
//
// # Usage
//
// A new policy is one file in its package and one line of registration:
//
//	var policies = policy.NewRegistry[Policy]()
//	func init() { policies.Register("fifo", fifo) }
package policy

import (
	"fmt"
	"slices"
)

// Registry maps names to policies of one sort. It is filled by init functions
// and only read afterwards, so that it needs no lock.
type Registry[P any] struct {
	byName map[string]P
}

// NewRegistry returns an empty registry.
func NewRegistry[P any]() *Registry[P] {
	return &Registry[P]{byName: make(map[string]P)}
}

// Register adds a policy. Registering a name twice is a programming error.
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

// Names returns all names in alphabetical order.
func (r *Registry[P]) Names() []string {
	names := make([]string, 0, len(r.byName))
	for name := range r.byName {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
