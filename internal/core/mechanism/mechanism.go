// Package mechanism defines the mechanisms of the system that can be disabled
// individually for ablation measurements. By default all are enabled. A disabled
// mechanism is replaced by the naive behavior given in its comment.
//
// # Usage
//
//	disabled, err := mechanism.Parse([]string{"copies", "admission"})
//	if disabled.Has(mechanism.Copies) { ... }
package mechanism

import (
	"fmt"
	"slices"
	"strings"
)

// Mechanism is the name of a mechanism that can be disabled.
type Mechanism string

// The mechanisms.
const (
	// Copies lets engines copy cached parts of prompts from each other. If
	// disabled, engines prefill them.
	Copies Mechanism = "copies"
	// Lists lets a new leader query the engines for their cached prompts. If
	// disabled, it only knows the prompts that it sent itself.
	Lists Mechanism = "lists"
	// Holdings places prompts by the cache contents of each engine. If
	// disabled, prompts are placed by the home engine of one part.
	Holdings Mechanism = "holdings"
	// Placement lets the leader place the prompts of all nodes. If disabled,
	// each node places its own prompts by the hash of one part.
	Placement Mechanism = "placement"
	// Admission rejects tasks that would miss their deadline. If disabled, all
	// tasks are admitted.
	Admission Mechanism = "admission"
	// ForeignRoom tracks the result capacity that other leaders use at stage
	// endpoints. If disabled, an endpoint counts as empty again at once.
	ForeignRoom Mechanism = "foreign_room"
	// RoomRate limits the throughput that admission assumes to the results that
	// fit into the endpoints. If disabled, admission assumes full batches.
	RoomRate Mechanism = "room_rate"
	// Forecast adds to a task's planned time the delay of similar tasks beyond
	// their plans. If disabled, admission uses the planned time alone.
	Forecast Mechanism = "forecast"
	// Homes keeps stages in the failure domain of their large transfers. If
	// disabled, they are placed in any failure domain.
	Homes Mechanism = "homes"
	// Priorities orders queues by the tasks' priority as well as slack. If
	// disabled, they are ordered by slack alone. Admission uses priorities in
	// either case.
	Priorities Mechanism = "priorities"
	// EarlyFrees frees inputs as soon as they are fetched if result capacity is
	// scarce. If disabled, inputs are freed at the end of the call.
	EarlyFrees Mechanism = "early_frees"
	// Speeds estimates the speed of each stage endpoint. If disabled, all
	// endpoints are assumed to be equally fast.
	Speeds Mechanism = "speeds"
	// Overdue recomputes pieces at another endpoint if their call takes far too
	// long. If disabled, the end of the call is awaited.
	Overdue Mechanism = "overdue"
	// Sizes extends the latency objective of prompts that are longer than usual
	// by their excess length. If disabled, they are refused more often than
	// others.
	Sizes Mechanism = "sizes"
	// Reading estimates the prefill time of prompts from measurements. If
	// disabled, the initial estimates are used.
	Reading Mechanism = "reading"
	// Schedule admits a stage task if its work and that of all others fits before
	// it is due, where clients have little patience. If disabled, tasks are
	// admitted by their estimated finish.
	Schedule Mechanism = "schedule"
	// Shares makes groups of requests that are served more than others leave
	// room for those. If disabled, whoever comes first is admitted.
	Shares Mechanism = "shares"
	// Bookings keeps capacity for the returns of rejected tasks, where clients have
	// little patience. If disabled, all rejected clients are told to wait as long
	// as they do.
	Bookings Mechanism = "bookings"
	// Join makes a started node wait until it knows the other members before
	// it leads. If disabled, it leads at once.
	Join Mechanism = "join"
	// Standby lets the node that ranks next after a leader take over at once
	// when the leader is lost. If disabled, each node detects the loss itself.
	Standby Mechanism = "standby"
	// Slowdown predicts with the slowdowns that endpoints state, and sends a
	// second attempt where one of them has not answered for far too long. If
	// disabled, the slowdowns are ignored.
	Slowdown Mechanism = "slowdown"
	// EngineMemory reserves the memory that placed prompts take at their engines. If
	// disabled, prompts are placed without regard to memory.
	EngineMemory Mechanism = "engine_memory"
	// Relays connects to endpoints through other nodes where the direct path is
	// lost. If disabled, such endpoints fail.
	Relays Mechanism = "relays"
	// Origins exchanges records of where streams began. If disabled, a client can
	// continue a stream only at the node at which it began.
	Origins Mechanism = "origins"
)

// All lists the mechanisms.
var All = []Mechanism{
	Copies, Lists, Holdings, Placement, Admission, ForeignRoom, RoomRate, Forecast, Homes, Priorities, EarlyFrees, Speeds, Overdue, Sizes, Reading, Join, Slowdown, Schedule, Shares, EngineMemory, Standby, Bookings, Relays, Origins,
}

// Disabled is a set of disabled mechanisms.
type Disabled map[Mechanism]bool

// Has reports whether a mechanism is disabled.
func (o Disabled) Has(m Mechanism) bool { return o[m] }

// Parse parses the names of mechanisms to disable.
func Parse(names []string) (Disabled, error) {
	disabled := make(Disabled, len(names))
	for _, name := range names {
		m := Mechanism(strings.TrimSpace(name))
		if m == "" {
			continue
		}
		if !slices.Contains(All, m) {
			return nil, fmt.Errorf("unknown mechanism %q, want one of %s", name, known())
		}
		disabled[m] = true
	}
	return disabled, nil
}

func known() string {
	names := make([]string, len(All))
	for i, m := range All {
		names[i] = string(m)
	}
	return strings.Join(names, ", ")
}
