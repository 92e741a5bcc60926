package ledger

import (
	"time"

	"gradetiller.example/internal/core/hash"
)

const (
	// Shards is how many nodes write records at most; with more nodes, each
	// key's shard has one writer.
	Shards = 8
	// writesPerSecond is the part of the store's budget that records may use.
	writesPerSecond = 40
)

// Writer names the node that writes a key's record. With up to Shards nodes
// each writes for itself. Nodes whose views differ may name different writers;
// that costs a transaction and never safety, which rests on the insert.
func Writer(key, self string, nodes []string) string {
	if len(nodes) <= Shards {
		return self
	}
	shard := hash.Of(key) % Shards
	writer, best := self, uint64(0)
	for _, n := range nodes {
		if w := hash.Pair(hash.Of(n), hash.Mix(shard+1)); w > best || w == best && n < writer {
			writer, best = n, w
		}
	}
	return writer
}

// WriteInterval returns the least time between two transactions of one node, so that
// all writers together keep to their part of the store's budget.
func WriteInterval(nodes int) time.Duration {
	return time.Duration(min(nodes, Shards)) * time.Second / writesPerSecond
}
