package discovery

import "gradetiller.example/internal/core/hash"

const (
	// fewestReaders is how many nodes read the store at least; systems up to
	// this size read it on every node.
	fewestReaders = 8
	// nodesPerReader bounds how many nodes ask one reader.
	nodesPerReader = 16
	readerSalt     = 0x5bd1e995
)

// Readers returns the nodes that read the store for all, in an order that all
// nodes with the same view agree on without messages. Weak instances read only
// where the strong ones are too few.
func Readers(strong, weak []string) []string {
	ranked := append(hash.Rank(readerSalt, strong), hash.Rank(readerSalt, weak)...)
	return ranked[:min(len(ranked), max(fewestReaders, len(ranked)/nodesPerReader))]
}

// ReaderFor returns the reader that a node asks. Each try that failed moves on
// to the next one; the nodes are spread evenly over the readers.
func ReaderFor(readers []string, node string, failed int) string {
	if len(readers) == 0 {
		return ""
	}
	return readers[(hash.Of(node)+uint64(failed))%uint64(len(readers))]
}
