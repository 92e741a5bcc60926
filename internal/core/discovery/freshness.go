package discovery

import "time"

// Freshness holds the times as of which a node's data is known to match the store. A zero
// time means never.
type Freshness struct {
	// List applies to the endpoint list, Config to the configuration. They are read by
	// separate calls, of which one may hang or fail for long while the other succeeds.
	List, Config time.Time
	// Primaries is when one of the primary readers last had both from the store itself.
	// Reads by backup readers do not count, since they do not show that the primary readers
	// have recovered.
	Primaries time.Time
	// Candidates is when one of the primary or backup readers last had both from the store
	// itself.
	Candidates time.Time
	// Own is when the node itself last had both from the store.
	Own time.Time
}

// AsOf returns the time as of which both the list and the configuration match the store.
func (f Freshness) AsOf() time.Time {
	if f.Config.Before(f.List) {
		return f.Config
	}
	return f.List
}

// Stale reports whether the view is so old that the node should poll another reader than
// the last time.
func (f Freshness) Stale(now time.Time) bool { return now.Sub(f.AsOf()) > stalePollAge }

// Merge returns the later of each time of two sources.
func (f Freshness) Merge(o Freshness) Freshness {
	return Freshness{
		List: latest(f.List, o.List), Config: latest(f.Config, o.Config),
		Primaries: latest(f.Primaries, o.Primaries), Candidates: latest(f.Candidates, o.Candidates), Own: latest(f.Own, o.Own),
	}
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// DirectReads records a node's own reads of the store.
type DirectReads struct{ list, config time.Time }

// RecordList records that the list was read as of a time.
func (d *DirectReads) RecordList(at time.Time) { d.list = latest(d.list, at) }

// RecordConfig records that the configuration was read as of a time.
func (d *DirectReads) RecordConfig(at time.Time) { d.config = latest(d.config, at) }

// Freshness returns the freshness that results from the node's own reads, given its role in
// the ranking.
func (d *DirectReads) Freshness(r Ranking, node string) Freshness {
	f := Freshness{List: d.list, Config: d.config}
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
	// ReadInterval is how long the store holds a reader's call for changes of the list, and
	// MinReadInterval the shortest time between two such calls while the list changes all the
	// time. PollInterval is how often any other node polls a reader, and stalePollAge the age of its view at which it polls another
	// reader. A reader's answer is at most 0.75 s old, and 0.35 s older when the next poll
	// is due.
	ReadInterval    = 700 * time.Millisecond
	MinReadInterval = 300 * time.Millisecond
	PollInterval    = 350 * time.Millisecond
	stalePollAge    = 1200 * time.Millisecond
	// sharedConfigWait and soloConfigWait are how long the store holds a long poll for
	// configuration changes, from a node that reads for others and from one that reads only
	// for itself. An unchanged configuration is confirmed only when the long poll ends, so
	// a reader's must end about as often as it reads the list. The shorter wait costs 0.8
	// more calls a second at each reader.
	sharedConfigWait = ReadInterval
	soloConfigWait   = 1500 * time.Millisecond
	// overdueListAge is the age of the list above which any peer is polled.
	overdueListAge = 1300 * time.Millisecond
	// configWaitSlack is how much older than the wait a configuration gets in normal
	// operation.
	configWaitSlack = 600 * time.Millisecond
)

// ConfigWait returns how long the store should hold a reader's long poll for configuration
// changes.
func (r Ranking) ConfigWait() time.Duration {
	if r.primaries < len(r.names) {
		return sharedConfigWait
	}
	return soloConfigWait
}

// Overdue reports whether a view is older than the readers leave it in normal operation, so
// that any peer may have a newer one.
func (r Ranking) Overdue(now time.Time, f Freshness) bool {
	return now.Sub(f.List) > overdueListAge || now.Sub(f.Config) > r.ConfigWait()+configWaitSlack
}

// AnswerAsOf returns the time as of which the answer to a long poll reflects the newest
// configuration. An answer without a change was given at the end of the wait. One with a
// change may have been given at any time after the request.
func AnswerAsOf(requested, answered time.Time, wait time.Duration, changed bool) time.Time {
	if waited := requested.Add(wait); !changed && !waited.After(answered) {
		return waited
	}
	return requested
}
