package node

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/intake"
	"gradetiller.example/internal/wire"
)

const (
	// mostWordFaults bounds the faults that are remembered as logged; further ones are not
	// logged.
	mostWordFaults = 256
	// mostWordsTold bounds the words of one message: 6 kB.
	mostWordsTold = 128
	// wordBeatGap is how often words that have changed have all neighbors told at once.
	// Endpoints whose words come and go would keep all nodes telling each other.
	wordBeatGap = 300 * time.Millisecond
)

// wordFault is a word that can't be read, and whose it is.
type wordFault struct{ endpoint, fault string }

// words is what endpoints say of the requests that they take, as this node knows.
type words struct {
	mu     sync.Mutex
	words  *intake.Words
	faults map[wordFault]bool
	// untold is true while a change is to be spread, spread when the last one was.
	untold bool
	spread time.Time
}

func newWords() *words {
	return &words{words: intake.NewWords(), faults: make(map[wordFault]bool)}
}

// count returns how many endpoints name a rate.
func (w *words) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.words.Len()
}

// any reports whether anything is known of any endpoint.
func (w *words) any() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.words.Empty()
}

// bound is what the word of an endpoint bounds.
func (w *words) bound(endpoint string) intake.Bound {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.words.Bound(endpoint)
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

// membersChanged takes in which nodes are live.
func (w *words) membersChanged(live []wire.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.words.ForgetPeers(noneOf(live))
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
	n.words.mu.Lock()
	change, changed := n.words.words.Hear(time.Now(), endpoint, word.Rate)
	n.words.mu.Unlock()
	if changed {
		n.wordsChanged(sourceEndpoint, change)
	}
}

// Where words come from, in log lines, besides peers.
const (
	sourceEndpoint = "endpoint"
	sourceAge      = "age"
)

// wordsChanged has words that have changed be in force and told with the next beat.
func (n *Node) wordsChanged(source string, changes ...intake.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		n.log.Info(eventIntakeChanged, zap.String("endpoint", c.Endpoint), zap.Stringer("takes", c.Takes), zap.Stringer("before", c.Before), zap.String("source", source))
	}
	n.repace.Store(true)
	n.words.mu.Lock()
	n.words.untold = true
	n.words.mu.Unlock()
}

// tendWords ends words that are too old, and reports whether all neighbors are to be told
// now.
func (n *Node) tendWords(now time.Time) bool {
	w := n.words
	w.mu.Lock()
	ended := w.words.Expire(now)
	tell := w.untold && now.Sub(w.spread) >= wordBeatGap
	if tell {
		w.untold, w.spread = false, now
	}
	w.mu.Unlock()
	n.wordsChanged(sourceAge, ended...)
	return tell
}

// withWords adds to a message what its receiver may not know of endpoints' words.
func (n *Node) withWords(to string, m wire.Gossip) wire.Gossip {
	w := n.words
	w.mu.Lock()
	defer w.mu.Unlock()
	news := wire.Intakes{Sum: w.words.Sum()}
	for _, t := range w.words.News(time.Now(), to, mostWordsTold) {
		news.Told = append(news.Told, wire.Intake{Endpoint: t.Endpoint, Bounded: t.Rate.Bounded(), PerSecond: t.Rate.PerSecond(), Age: t.Age.Milliseconds()})
	}
	if news.Sum != 0 || len(news.Told) > 0 {
		m.Intakes = &news
	}
	return m
}

// takeWords takes in what another node tells of endpoints' words, and reports whether that
// node is to be told something.
func (n *Node) takeWords(m *wire.Gossip) bool {
	news := wire.Intakes{}
	if m.Intakes != nil {
		news = *m.Intakes
	}
	told := make([]intake.Told, 0, len(news.Told))
	for _, t := range news.Told {
		word := intake.Told{Endpoint: t.Endpoint, Age: time.Duration(t.Age) * time.Millisecond}
		if t.Bounded {
			rate, err := intake.RateOf(t.PerSecond)
			if err != nil {
				n.log.Warn(eventMessageNotExpected, zap.String("node", m.Node), zap.Error(err))
				continue
			}
			word.Rate = rate
		}
		told = append(told, word)
	}
	now := time.Now()
	n.words.mu.Lock()
	changes := n.words.words.Take(now, told)
	lacks := n.words.words.Compare(now, m.Node, news.Sum)
	n.words.mu.Unlock()
	n.wordsChanged(sourcePeer, changes...)
	return lacks
}
