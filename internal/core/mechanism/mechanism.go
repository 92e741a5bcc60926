// Package mechanism names the parts of the system's decisions that can be switched
// off, one by one, to measure what each is worth. With all of them on, which is the
// default, nothing changes. A mechanism that is off is replaced by the naive choice
// that its comment tells.
//
// # Usage
//
//	off, err := mechanism.Parse([]string{"copies", "admission"})
//	if off.Has(mechanism.Copies) { ... }
package mechanism

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is the name of a part that can be switched off.
type Mechanism string

// The mechanisms.
const (
	// Copies has engines copy parts of prompts from each other; without, they
	// read them.
	Copies Mechanism = "copies"
	// Lists has a new leader ask the engines what they hold; without, it knows
	// only what it sends itself.
	Lists Mechanism = "lists"
	// Holdings places prompts by what each engine holds; without, by the home
	// of one part.
	Holdings Mechanism = "holdings"
	// Placement has the leader place the prompts of all nodes; without, each
	// node places its own by the hash of one part.
	Placement Mechanism = "placement"
	// Admission refuses tasks that would be late; without, all are taken.
	Admission Mechanism = "admission"
	// ForeignRoom remembers the room that others hold at stage endpoints;
	// without, an endpoint is taken for empty again at once.
	ForeignRoom Mechanism = "foreign_room"
	// RoomRate has admission count on no more results than find room; without, on
	// as many as full batches make.
	RoomRate Mechanism = "room_rate"
	// Forecast adds to a task's plan what such tasks took beyond theirs; without,
	// admission goes by the plan alone.
	Forecast Mechanism = "forecast"
	// Homes keeps stages in the failure domain of their big transfers; without,
	// they go anywhere.
	Homes Mechanism = "homes"
	// Priorities orders queues by the tasks' ranks too; without, by slack alone.
	// Admission counts by rank in either case.
	Priorities Mechanism = "priorities"
	// EarlyFrees gives inputs up as soon as they are fetched where room is
	// short; without, at the end of the call.
	EarlyFrees Mechanism = "early_frees"
	// Speeds learns how fast each stage endpoint is; without, all count as
	// alike.
	Speeds Mechanism = "speeds"
	// Overdue has pieces made elsewhere when their call takes far too long;
	// without, the call's end is awaited.
	Overdue Mechanism = "overdue"
	// Sizes lets prompts that are longer than usual miss their aim by as much;
	// without, they are refused more often than others.
	Sizes Mechanism = "sizes"
	// Reading learns how long prompts take to read; without, the start values
	// stay.
	Reading Mechanism = "reading"
	// Join has a started node wait until it knows the others before it leads;
	// without, it leads at once.
	Join Mechanism = "join"
)

// All lists the mechanisms.
var All = []Mechanism{
	Copies, Lists, Holdings, Placement, Admission, ForeignRoom, RoomRate, Forecast, Homes, Priorities, EarlyFrees, Speeds, Overdue, Sizes, Reading, Join,
}

// Disabled is a set of mechanisms that are switched off.
type Disabled map[Mechanism]bool

// Has reports whether a mechanism is switched off.
func (o Disabled) Has(m Mechanism) bool { return o[m] }

// Parse reads names of mechanisms to switch off.
func Parse(names []string) (Disabled, error) {
	off := make(Disabled, len(names))
	for _, name := range names {
		m := Mechanism(strings.TrimSpace(name))
		if m == "" {
			continue
		}
		if !slices.Contains(All, m) {
			return nil, fmt.Errorf("unknown mechanism %q: the known ones are %s", name, known())
		}
		off[m] = true
	}
	return off, nil
}

func known() string {
	names := make([]string, len(All))
	for i, m := range All {
		names[i] = string(m)
	}
	return strings.Join(names, ", ")
}
