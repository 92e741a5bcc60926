package node

import (
	"fmt"

	"go.uber.org/zap"

	"gradetiller.example/platform"
)

// maxRefusedLogged bounds the refused entries that are remembered as logged. Further ones are
// counted but not logged.
const maxRefusedLogged = 256

// refusedEntry identifies an entry of the endpoint list and the fault for which it was refused.
type refusedEntry struct {
	key   string
	fault platform.EntryFault
}

// refusedEntries remembers which refused entries of the endpoint list were logged and which faults
// were counted. It is used only by the goroutine that reads the list.
type refusedEntries struct {
	logged map[refusedEntry]bool
	faults map[platform.EntryFault]bool
}

// recordRefused logs each refused entry once for each fault, and sets the gauges of refused entries
// by fault.
func (n *Node) recordRefused(list []*platform.EntryError) {
	counts := make(map[platform.EntryFault]int)
	now := make(map[refusedEntry]bool, len(list))
	for _, refused := range list {
		counts[refused.Fault]++
		n.refusedEntries.faults[refused.Fault] = true
		key := refusedEntry{refused.Key, refused.Fault}
		switch {
		case n.refusedEntries.logged[key]:
			now[key] = true
		case len(n.refusedEntries.logged)+len(now) < maxRefusedLogged:
			now[key] = true
			n.log.Warn(eventEntryRefused, zap.String("entry", refused.Key), zap.Error(refused))
		}
	}
	// An entry that is no longer listed is logged again if it reappears.
	n.refusedEntries.logged = now
	for fault := range n.refusedEntries.faults {
		name := fmt.Sprintf(`gradetiller_entries_refused{fault=%q}`, fault)
		n.meters.set.GetOrCreateGauge(name, nil).Set(float64(counts[fault]))
	}
}
