package discovery

import (
	"slices"
	"time"

	"gradetiller.example/internal/core/hash"
)

const (
	// fewestReaders is how many nodes read the store at least; systems up to
	// this size read it on every node.
	fewestReaders = 8
	// nodesPerReader bounds how many nodes ask one reader.
	nodesPerReader = 48
	readerSalt     = 0x5bd1e995
)

// Readers returns the nodes that read the store for all, in an order that all
// nodes with the same view agree on without messages. Weak instances read only
// where the strong ones are too few.
func Readers(strong, weak []string) []string {
	ranked := append(hash.Rank(readerSalt, strong), hash.Rank(readerSalt, weak)...)
	return ranked[:min(len(ranked), max(fewestReaders, len(ranked)/nodesPerReader))]
}

const (
	// greetTime is what a node that was just started leaves the others to make
	// themselves known before it reads the store in its turn as a reader.
	greetTime = 200 * time.Millisecond
	// firstReadAfter is when a node that no reader has answered reads the store
	// itself after its start, and firstReadSpread how far these reads of
	// different nodes lie apart.
	firstReadAfter  = 1200 * time.Millisecond
	firstReadSpread = 1800 * time.Millisecond
)

// ReadsFirst reports whether a node that knows no list yet reads the store, a
// time after its start. After all nodes were killed, each of them knows few
// others at first; if each read the store then, their whole lists would hold
// all of them up.
func ReadsFirst(node string, readers []string, sinceStart time.Duration) bool {
	if len(readers) > 1 && slices.Contains(readers, node) {
		return sinceStart >= greetTime
	}
	turn := time.Duration(hash.Of(node) % uint64(firstReadSpread))
	return sinceStart >= firstReadAfter+turn
}

// ReaderFor returns the reader that a node asks. Each try that failed moves on
// to the next one; the nodes are spread evenly over the readers.
func ReaderFor(readers []string, node string, failed int) string {
	if len(readers) == 0 {
		return ""
	}
	return readers[(hash.Of(node)+uint64(failed))%uint64(len(readers))]
}
