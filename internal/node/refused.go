package node

import (
	"fmt"

	"go.uber.org/zap"

	"gradetiller.example/platform"
)

// maxRefusedLogged bounds the refused entries that are remembered as logged. Under a
// flood of them the rest is only counted.
const maxRefusedLogged = 256

// refusedEntry is an entry of the list of endpoints and why it was refused.
type refusedEntry struct {
	key   string
	fault platform.EntryFault
}

// refusedEntries counts what the last list that was read had to leave out, and remembers
// what was logged. Only the goroutine that reads the list uses it.
type refusedEntries struct {
	logged map[refusedEntry]bool
	faults map[platform.EntryFault]bool
}

// recordRefused logs each refused entry once for each fault, and counts all by fault.
func (n *Node) recordRefused(list []*platform.EntryError) {
	counts := make(map[platform.EntryFault]int)
	now := make(map[refusedEntry]bool, len(list))
	for _, refused := range list {
		counts[refused.Fault]++
		n.refused.faults[refused.Fault] = true
		key := refusedEntry{refused.Key, refused.Fault}
		switch {
		case n.refused.logged[key]:
			now[key] = true
		case len(n.refused.logged)+len(now) < maxRefusedLogged:
			now[key] = true
			n.log.Warn(eventEntryRefused, zap.String("entry", refused.Key), zap.Error(refused))
		}
	}
	// What is listed no more may be logged again when it comes back.
	n.refused.logged = now
	for fault := range n.refused.faults {
		name := fmt.Sprintf(`gradetiller_entries_refused{fault=%q}`, fault)
		n.meters.set.GetOrCreateGauge(name, nil).Set(float64(counts[fault]))
	}
}
