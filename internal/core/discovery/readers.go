package discovery

import (
	"slices"
	"time"

	"gradetiller.example/internal/core/hash"
)

const (
	// fewestReaders is how many nodes read the store at least; systems up to
	// allRead nodes read it on every one.
	fewestReaders = 4
	allRead       = 8
	// nodesPerReader bounds how many nodes ask one reader.
	nodesPerReader = 48
	readerSalt     = 0x5bd1e995
)

// The times after which others read in the readers' place.
const (
	// readAge is how long ago the usual readers had the store's state from which on
	// further nodes read the store: the readers are gone, cut off from it, some of
	// their calls fail, or it is away. In ordinary times a node knows of them 1.1 s
	// ago at most. The stand-ins and then all 61 nodes of a run of separate processes
	// had a change 2.65 s after its readers were lost when this was 1.6 s, of 3 s
	// that were allowed.
	readAge = 1350 * time.Millisecond
	// standInStep is how long each further doubling of the readers takes, and
	// mostDoublings how often they double. When the readers alone are cut off,
	// the stand-ins find the store within a step or two; when it is away from
	// all, so many calls go out in vain and no more. With each of 295 nodes
	// reading for itself then, 8 s without the store took 10,700 calls.
	standInStep   = 300 * time.Millisecond
	mostDoublings = 2
)

// Ranking is the order in which nodes read the store for all. Nodes that know the
// same others find the same order without messages.
type Ranking struct {
	names []string
	usual int
}

// Rank orders the nodes. Weak instances read only where the strong ones are too
// few.
func Rank(strong, weak []string) Ranking {
	names := append(hash.Rank(readerSalt, strong), hash.Rank(readerSalt, weak)...)
	usual := len(names)
	if len(names) > allRead {
		usual = max(fewestReaders, len(names)/nodesPerReader)
	}
	return Ranking{names: names, usual: usual}
}

// Readers returns the nodes that read the store for a node which knows that the usual
// readers had the store's state some time ago. As long as that is not long they are
// few; then others stand in, twice as many with each step, up to a bound that does not
// grow with the time.
func (r Ranking) Readers(away time.Duration) []string {
	count := r.usual
	if away > readAge {
		steps := min(1+int((away-readAge)/standInStep), mostDoublings)
		count <<= steps
	}
	return r.names[:min(count, len(r.names))]
}

// IsPrimary reports whether a node is one of the usual readers.
func (r Ranking) IsPrimary(node string) bool { return slices.Contains(r.Readers(0), node) }

// IsCandidate reports whether a node is a usual reader or one of those that stand in
// first.
func (r Ranking) IsCandidate(node string) bool { return slices.Contains(r.first(), node) }

func (r Ranking) first() []string { return r.names[:min(r.usual<<mostDoublings, len(r.names))] }

const (
	// greetTime is what a node that was just started leaves the others to make
	// themselves known before it reads the store in its turn as a reader.
	greetTime = 200 * time.Millisecond
	// firstReadAfter is when others stand in for the readers after the start. A
	// node that knows nobody reads the store itself then, firstReadSpread after
	// the first such one at the latest.
	firstReadAfter  = 1200 * time.Millisecond
	firstReadSpread = 1800 * time.Millisecond
	// anyReadAfter is when a node reads in its turn although others should.
	anyReadAfter = 5 * time.Second
)

// ReadsAtStart reports whether a node that knows no list yet reads the store, a
// time after its start. After all nodes were killed, whole lists for each of them at
// once would hold all up; and while the store is away too, calls of all of them
// would be in vain.
func (r Ranking) ReadsAtStart(node string, sinceStart time.Duration) bool {
	turn := time.Duration(hash.Of(node) % uint64(firstReadSpread))
	switch {
	case len(r.names) < 2:
		return sinceStart >= firstReadAfter+turn
	case sinceStart >= anyReadAfter+turn:
		return true
	case sinceStart >= firstReadAfter:
		return slices.Contains(r.Readers(readAge+sinceStart-firstReadAfter), node)
	}
	return sinceStart >= greetTime && r.IsPrimary(node)
}

// ReaderFor returns the reader that a node asks, or "" if there is none. Each try
// that failed moves on to the next one; the nodes are spread evenly over the
// readers.
func ReaderFor(readers []string, node string, failed int) string {
	if len(readers) == 0 {
		return ""
	}
	return readers[(hash.Of(node)+uint64(failed))%uint64(len(readers))]
}

// The limits of reads of the store, and the pauses after those that failed.
const (
	readLimit = 900 * time.Millisecond
	// startLimit and startPause are those of a node that knows nothing yet and can
	// do nothing: a call that went out while the store was away must not keep it
	// from the next one. After startTries the store may be there, but slow.
	startLimit = 450 * time.Millisecond
	startPause = 150 * time.Millisecond
	startTries = 4
	// firstRetry and longestRetry bound the pause otherwise; it doubles with each
	// further failure.
	firstRetry   = 300 * time.Millisecond
	longestRetry = 1200 * time.Millisecond
)

// ReadTimeout is how long a read of the store may take after some that failed in a
// row, for a node that serves by what it knows or one that knows nothing yet.
func ReadTimeout(serves bool, failed int) time.Duration {
	if !serves && failed < startTries {
		return startLimit
	}
	return readLimit
}

// RetryDelay is how long such a node waits after some calls to the store that failed
// in a row. While the store is away every call is in vain, and a second more until it
// is found again does not count beside the time it was away.
func RetryDelay(serves bool, failed int) time.Duration {
	if !serves {
		return startPause
	}
	return min(firstRetry<<min(max(failed-1, 0), 8), longestRetry)
}
