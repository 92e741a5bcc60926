package node

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/intake"
)

// mostWordFaults bounds the faults that are remembered as logged; further ones are not logged.
const mostWordFaults = 256

// wordFault is a word that can't be read, and whose it is.
type wordFault struct{ endpoint, fault string }

// words is what this node has heard endpoints say of the requests that they take.
type words struct {
	mu     sync.Mutex
	words  *intake.Words
	faults map[wordFault]bool
}

// count returns how many endpoints name a rate.
func (w *words) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.words.Len()
}

// hear takes in what an endpoint says.
func (w *words) hear(endpoint string, rate intake.Rate) (before intake.Rate, changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.words.Hear(time.Now(), endpoint, rate)
}

// isNew reports whether a word that can't be read is to be logged.
func (w *words) isNew(f wordFault) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults[f] || len(w.faults) >= mostWordFaults {
		return false
	}
	w.faults[f] = true
	return true
}

// heardWord takes in what an answer of an endpoint says of the requests that it takes.
func (n *Node) heardWord(endpoint string, word intake.Word) {
	if word.Fault != nil && n.words.isNew(wordFault{endpoint, word.Fault.Error()}) {
		n.log.Warn(eventIntakeUnread, zap.String("endpoint", endpoint), zap.Error(word.Fault))
	}
	if !word.Says {
		return
	}
	if word.Rate.Bounded() {
		n.meters.heardLimit()
	}
	if before, changed := n.words.hear(endpoint, word.Rate); changed {
		n.log.Info(eventIntakeChanged, zap.String("endpoint", endpoint), zap.Stringer("takes", word.Rate), zap.Stringer("before", before))
	}
}
