package ledger

import (
	"time"

	"gradetiller.example/internal/core/hash"
)

const (
	// Shards is the maximum number of nodes that write records. With more
	// nodes, keys are sharded and each shard has one writer.
	Shards = 8
	// writesPerSecond is the part of the store's write budget for records.
	writesPerSecond = 40
)

// Writer returns the node that writes a key's record. With up to Shards nodes
// each node writes its own records. Nodes with different views may choose
// different writers; that costs a transaction but not safety, which relies on the
// conditional insert.
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

// WriteInterval returns the minimum time between two transactions of one node, so
// that all writers together stay within writesPerSecond.
func WriteInterval(nodes int) time.Duration {
	return time.Duration(min(nodes, Shards)) * time.Second / writesPerSecond
}
