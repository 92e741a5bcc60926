package discovery

import (
	"slices"
	"time"

	"gradetiller.example/internal/core/hash"
)

const (
	// minReaders is the minimum number of nodes that read the store. In systems of up to
	// maxNodesAllRead nodes, all of them read it.
	minReaders      = 4
	maxNodesAllRead = 8
	// nodesPerReader is the number of nodes that poll one reader, up to maxReaders. Beyond, the
	// readers are polled by more nodes each: a poll costs little, and a call to the store is made
	// by each reader.
	nodesPerReader = 48
	maxReaders     = 8
	readerSalt     = 0x5bd1e995
)

// The times after which backup readers read the store.
const (
	// primaryStaleAge is the age of the primary readers' last successful read from which on
	// backup readers read the store: the primary readers have failed or are partitioned
	// from the store, some of their calls fail, or the store is unavailable. In normal
	// operation a node sees an age of at most 1.1 s. With 1.6 s, the backup readers and
	// then all 61 nodes of a system of separate processes had a change 2.65 s after the
	// loss of the readers, of the 3 s allowed.
	primaryStaleAge = 1350 * time.Millisecond
	// backupStep is the time between doublings of the number of readers, and maxDoublings
	// the number of doublings. If only the readers are cut off, backup readers reach the
	// store within a step or two. If the store is unavailable to all nodes, the bound
	// limits the number of failing calls: with each of 295 nodes reading for itself, an
	// outage of 8 s caused 10,700 calls.
	backupStep   = 300 * time.Millisecond
	maxDoublings = 2
)

// Ranking is the order in which nodes read the store on behalf of all. Nodes that know the
// same members compute the same order without communication.
type Ranking struct {
	names     []string
	primaries int
}

// Rank orders the nodes. Small instances read only if there are too few large ones.
func Rank(large, small []string) Ranking {
	names := append(hash.Rank(readerSalt, large), hash.Rank(readerSalt, small)...)
	primaries := len(names)
	if len(names) > maxNodesAllRead {
		primaries = min(max(minReaders, len(names)/nodesPerReader), maxReaders)
	}
	return Ranking{names: names, primaries: primaries}
}

// Readers returns the nodes that read the store, given the time since the primary readers
// last had the store's state. Once that exceeds a threshold, backup readers join and the
// number of readers doubles with each step, up to a bound that does not grow with time.
func (r Ranking) Readers(sinceRead time.Duration) []string {
	count := r.primaries
	if sinceRead > primaryStaleAge {
		steps := min(1+int((sinceRead-primaryStaleAge)/backupStep), maxDoublings)
		count <<= steps
	}
	return r.names[:min(count, len(r.names))]
}

// IsPrimary reports whether a node is a primary reader.
func (r Ranking) IsPrimary(node string) bool { return slices.Contains(r.Readers(0), node) }

// IsCandidate reports whether a node is a primary or backup reader.
func (r Ranking) IsCandidate(node string) bool { return slices.Contains(r.candidates(), node) }

func (r Ranking) candidates() []string { return r.names[:min(r.primaries<<maxDoublings, len(r.names))] }

const (
	// greetingPeriod is how long a newly started node waits for other nodes to introduce
	// themselves before it reads the store as a reader.
	greetingPeriod = 200 * time.Millisecond
	// startBackupDelay is the time after the start from which backup readers read the
	// store. A node that knows no other reads it itself then, at a time spread over
	// startReadSpread.
	startBackupDelay = 1200 * time.Millisecond
	startReadSpread  = 1800 * time.Millisecond
	// startFallbackDelay is the time after the start from which every node reads, although
	// designated readers exist.
	startFallbackDelay = 5 * time.Second
)

// ReadsAtStart reports whether a node that has no list yet reads the store, given the time
// since its start, and whether it knows the nodes that come first in the ranking. Before, every
// one of a thousand nodes that start together takes itself for a reader. Reads are staggered: after all nodes were killed, full lists for all of
// them at once would overload the store, and while the store is unavailable too, all of
// these calls would fail.
func (r Ranking) ReadsAtStart(node string, sinceStart time.Duration, joined bool) bool {
	offset := time.Duration(hash.Of(node) % uint64(startReadSpread))
	switch {
	case len(r.names) < 2:
		return sinceStart >= startBackupDelay+offset
	case sinceStart >= startFallbackDelay+offset:
		return true
	case !joined:
		return false
	case sinceStart >= startBackupDelay:
		return slices.Contains(r.Readers(primaryStaleAge+sinceStart-startBackupDelay), node)
	}
	return sinceStart >= greetingPeriod && r.IsPrimary(node)
}

// ReaderFor returns the reader that a node polls, or "" if there is none. Each failed try
// moves on to the next reader. The nodes are spread evenly over the readers.
func ReaderFor(readers []string, node string, failed int) string {
	if len(readers) == 0 {
		return ""
	}
	return readers[(hash.Of(node)+uint64(failed))%uint64(len(readers))]
}

// Timeouts of store reads, and delays after failed ones.
const (
	readTimeout = 900 * time.Millisecond
	// startReadTimeout and startRetryDelay apply to a node without data, which cannot
	// serve: a call that was sent while the store was unavailable must not delay the next
	// one. After startTries failures the store may be available but slow, so the usual
	// timeout applies.
	startReadTimeout = 450 * time.Millisecond
	startRetryDelay  = 150 * time.Millisecond
	startTries       = 4
	// minRetryDelay and maxRetryDelay bound the delay otherwise. It doubles with each
	// further failure.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
)

// ReadTimeout returns the timeout of a store read after some consecutive failures, for a
// node that serves from the data it has or for one that has none yet.
func ReadTimeout(serves bool, failed int) time.Duration {
	if !serves && failed < startTries {
		return startReadTimeout
	}
	return readTimeout
}

// RetryDelay returns the delay of such a node after some consecutive failures. While the
// store is unavailable every call fails, and finding it a second later adds little to the
// outage.
func RetryDelay(serves bool, failed int) time.Duration {
	if !serves {
		return startRetryDelay
	}
	return min(minRetryDelay<<min(max(failed-1, 0), 8), maxRetryDelay)
}
