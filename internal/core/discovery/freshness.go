package discovery

import "time"

// Freshness tells as of when what a node holds is known to be the store's. Each
// moment may be zero for never.
type Freshness struct {
	// List is that of the list of endpoints, Config that of the configuration.
	// They are read by different calls, of which one may hang or fail for long
	// while the other succeeds.
	List, Config time.Time
	// Primaries is as of when one of the usual readers had both from the store
	// itself. What others have read in the readers' place does not count: it is no
	// sign that the readers are back.
	Primaries time.Time
	// Candidates is as of when one of the usual readers, or of those that stand in for
	// them first, had both from the store itself.
	Candidates time.Time
	// Own is as of when the node itself had both from the store.
	Own time.Time
}

// AsOf is as of when all that the node holds is known to be the store's.
func (f Freshness) AsOf() time.Time {
	if f.Config.Before(f.List) {
		return f.Config
	}
	return f.List
}

// Stale reports whether another reader is to be asked than the last time.
func (f Freshness) Stale(now time.Time) bool { return now.Sub(f.AsOf()) > askStale }

// Merge joins what is known from two sources.
func (f Freshness) Merge(o Freshness) Freshness {
	return Freshness{
		List: later(f.List, o.List), Config: later(f.Config, o.Config),
		Primaries: later(f.Primaries, o.Primaries), Candidates: later(f.Candidates, o.Candidates), Own: later(f.Own, o.Own),
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// DirectReads is what a node knows by its own reads of the store alone.
type DirectReads struct{ list, config time.Time }

// RecordList notes a read of the list as of a moment.
func (h *DirectReads) RecordList(at time.Time) { h.list = later(h.list, at) }

// RecordConfig notes a read of the configuration as of a moment.
func (h *DirectReads) RecordConfig(at time.Time) { h.config = later(h.config, at) }

// Freshness is what a node knows by its own reads, by its place among the readers.
func (h *DirectReads) Freshness(r Ranking, node string) Freshness {
	f := Freshness{List: h.list, Config: h.config}
	f.Own = f.AsOf()
	if r.IsCandidate(node) {
		f.Candidates = f.Own
	}
	if r.IsPrimary(node) {
		f.Primaries = f.Own
	}
	return f
}

const (
	// ReadInterval is how often a reader reads the list, AskEvery how often a node that is
	// none asks a reader, and askStale the age of its view at which it asks another
	// one. A reader's answer is 0.75 s old at most, and 0.35 s older when the next one
	// is asked for.
	ReadInterval = 700 * time.Millisecond
	PollInterval = 350 * time.Millisecond
	askStale     = 1200 * time.Millisecond
	// sharedWait and ownWait are how long the store holds a question for changes of
	// the configuration, of a node that reads for others and of one that reads for
	// itself. That the configuration is still the newest is known only when the
	// question ends, so a reader's must end about as often as it reads the list; the
	// shorter wait is 0.8 calls a second more at each reader.
	sharedWait = ReadInterval
	ownWait    = 1500 * time.Millisecond
	// listOld is the age of the list from which on peers are asked for theirs.
	listOld = 1300 * time.Millisecond
	// waitSlack is how much older than the wait a configuration may be in ordinary
	// times.
	waitSlack = 600 * time.Millisecond
)

// ConfigWait is how long the store is to hold a reader's question for changes of the
// configuration.
func (r Ranking) ConfigWait() time.Duration {
	if r.usual < len(r.names) {
		return sharedWait
	}
	return ownWait
}

// Overdue reports whether a view is older than readers leave it in ordinary times, so
// that any peer may know more.
func (r Ranking) Overdue(now time.Time, f Freshness) bool {
	return now.Sub(f.List) > listOld || now.Sub(f.Config) > r.ConfigWait()+waitSlack
}

// AnswerAsOf is the moment as of which the answer to a question for changes tells the
// newest configuration. One that names no change was given when its wait was over; one
// that names a change was given at any time after it was asked.
func AnswerAsOf(asked, answered time.Time, wait time.Duration, changed bool) time.Time {
	if waited := asked.Add(wait); !changed && !waited.After(answered) {
		return waited
	}
	return asked
}
