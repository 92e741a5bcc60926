package poison

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gradetiller.example/internal/core/hash"
)

const (
	// minCrashes is the number of endpoints that must have crashed under a subject before
	// it is refused, if hardly any others crash. maxCrashes always suffice for a content, and
	// maxPartCrashes for a part, which more requests have.
	minCrashes     = 3
	maxCrashes     = 4
	maxPartCrashes = 5
	// isolationCrashes is the number of crashes after which a request runs apart from
	// others. With one, all requests that ran at a crashed endpoint would lose the
	// endpoints that cache their prompts.
	isolationCrashes = 2
	// simultaneous is the time within which crashes under a part count as one. A part crashes one
	// endpoint after the other; several at once crash for another reason, and a part that many
	// requests have runs at all of them.
	simultaneous = 250 * time.Millisecond
	// maxOthersAtOnce is the number of other endpoints above which a crash under a part is one of many at
	// the same time and counts half. It still counts, since many parts may crash endpoints at once.
	maxOthersAtOnce = 2
	// maxKeptCrashes bounds the crashes kept for a subject, confirmed or not.
	maxKeptCrashes = 12
	// maxCompanions bounds the companions that are kept of a crash.
	maxCompanions = 16
	// maxChance is the largest accepted probability that a request was present at all of
	// its crashes by chance. In simulated systems whose endpoints also crash for other
	// reasons, 43 of 84,097 other requests were refused when three crashes always sufficed,
	// and none of 84,092 with this rule (TestIncidents, others-broken, 30 seeds).
	maxChance = 0.002
	// othersWindow is how long before a subject's first crash the crashes of other
	// endpoints are counted.
	othersWindow = 5 * time.Second
	// maxRecentCrashes bounds the crashes kept to estimate how frequent crashes are.
	maxRecentCrashes = 512
	// crashTTL is how long a crash counts against the requests that ran there.
	crashTTL = 10 * time.Minute
	// maxSuspects bounds the subjects under which one endpoint crashed, and maxRepeated those under
	// which several did. A crash of a model engine adds at most 64 requests with their parts, most of
	// which are never seen at a crash again and must not evict those that are.
	maxSuspects = 8192
	maxRepeated = 2048
	// ownerCount is the number of nodes that count the crashes of a subject. While three in
	// ten nodes are down, all owners of a subject are down in one of 400 cases.
	ownerCount = 5
)

// Owners returns the nodes that count the crashes of a subject, by rendezvous hashing over
// the live nodes. Nodes that know the same members return the same owners.
func Owners(id ID, nodes []string) []string {
	ranked := hash.Rank(id.Key(), nodes)
	return ranked[:min(len(ranked), ownerCount)]
}

// Ledger holds one node's data about the subjects under which endpoints crashed. It is not
// safe for concurrent use.
type Ledger struct {
	// once holds the subjects under which one endpoint crashed, repeated those under which several did.
	once, repeated *simplelru.LRU[ID, *suspect]
	refusals       *Refusals
	// recent holds when the latest endpoints crashed, under any subject.
	recent *simplelru.LRU[string, time.Time]
}

// suspect is a subject under which endpoints crashed.
type suspect struct {
	part    bool
	crashes []countedCrash
}

// countedCrash is a crash under a subject.
type countedCrash struct {
	Crash
	at time.Time
	// confirmed is true if two nodes or the list of endpoints found the crash. Otherwise it
	// is known only that this node cannot reach the endpoint.
	confirmed bool
}

// Crash is an endpoint that crashed while a request ran there, as sent between nodes.
type Crash struct {
	Endpoint string
	Address  string
	// ServiceSize is the number of endpoints of the same service.
	ServiceSize int
	// Confirmed is true if the list of endpoints shows the crash or two nodes found it, so that the
	// receiver need not verify it, and false if only the sender was refused a connection.
	Confirmed bool
	// Alive is true if the endpoint was reported as crashed but is alive.
	Alive bool
	// Accepted is true if Alive follows only from a connection that the endpoint accepted. That
	// retracts only crashes of a moment ago, since a crashed endpoint may have restarted.
	Accepted bool
	// Age is the time since the runs broke.
	Age time.Duration
	// ServedBefore is true if the sender had served the subject, a part, within servedBeforeTTL.
	ServedBefore bool
	// Companions are the other suspects of the requests with the subject that ran there: one of them
	// may be the cause, alone or together with the subject.
	Companions []ID
}

// Validate returns an error if no node sends such a crash.
func (c Crash) Validate() error { return validateCompanions(c.Companions) }

func validateCompanions(list []ID) error {
	if len(list) > maxCompanions {
		return fmt.Errorf("poison: %d companions, more than %d", len(list), maxCompanions)
	}
	return nil
}

// Change is what a crash changed.
type Change struct {
	// Refused is true if the subject is newly refused, Suspected if it newly is a suspect of which all
	// nodes should know, and Widened if a refusal applies to more requests than before.
	Refused, Suspected, Widened bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		once: newLRU[ID, *suspect](maxSuspects), repeated: newLRU[ID, *suspect](maxRepeated),
		refusals: NewRefusals(), recent: newLRU[string, time.Time](maxRecentCrashes),
	}
}

// Refusals returns the refused subjects.
func (l *Ledger) Refusals() *Refusals { return l.refusals }

// Suspects returns the number of subjects with recorded crashes.
func (l *Ledger) Suspects() int { return l.once.Len() + l.repeated.Len() }

// find returns a suspect, or nil.
func (l *Ledger) find(id ID) *suspect {
	if s, ok := l.repeated.Get(id); ok {
		return s
	}
	s, _ := l.once.Get(id)
	return s
}

// Contains reports whether crashes under a subject are recorded.
func (l *Ledger) Contains(id ID) bool { return l.once.Contains(id) || l.repeated.Contains(id) }

func (l *Ledger) remove(id ID) {
	l.once.Remove(id)
	l.repeated.Remove(id)
}

// AddCrash records an endpoint's crash under a subject, once for each incarnation of an endpoint.
// Only confirmed crashes count toward a refusal.
func (l *Ledger) AddCrash(now time.Time, subject Subject, e Crash, confirmed bool) Change {
	id := subject.ID
	s := l.find(id)
	if s == nil {
		s = &suspect{part: subject.Part}
		l.once.Add(id, s)
	}
	s.expire(now)
	if !l.recent.Contains(e.Endpoint) {
		l.recent.Add(e.Endpoint, now.Add(-e.Age))
	}
	if !s.add(countedCrash{Crash: e, at: now.Add(-e.Age), confirmed: confirmed}) {
		return Change{}
	}
	if len(s.crashes) > 1 && l.once.Remove(id) {
		l.repeated.Add(id, s)
	}
	return l.evaluate(now, subject, s, e, confirmed)
}

// evaluate decides what follows from a new crash under a suspect.
func (l *Ledger) evaluate(now time.Time, subject Subject, s *suspect, e Crash, confirmed bool) Change {
	id := subject.ID
	if _, refused := l.refusals.Remaining(now, id); refused {
		return Change{Widened: l.refusals.RetainCompanions(now, id, s.companions())}
	}
	if l.count(s) >= l.threshold(s, e.ServiceSize) {
		return Change{Refused: l.refusals.Refuse(now, subject, s.crashes[0].at, s.companions())}
	}
	if confirmed && (l.refusals.OnProbation(now, id) || subject.Part && l.refusals.RefusedElsewhere(now, id)) {
		// One crash says nothing about companions.
		return Change{Refused: l.refusals.Refuse(now, subject, s.crashes[0].at, l.refusals.Companions(id))}
	}
	if subject.Part && l.count(s) >= isolationCrashes {
		return Change{Suspected: l.refusals.Suspect(now, id, s.crashes[0].at)}
	}
	return Change{}
}

// add adds a crash or completes it, and reports whether that changed anything.
func (s *suspect) add(e countedCrash) bool {
	at := slices.IndexFunc(s.crashes, func(o countedCrash) bool { return o.Endpoint == e.Endpoint })
	if at >= 0 {
		known := &s.crashes[at]
		before, newlyConfirmed := len(known.Companions), e.confirmed && !known.confirmed
		known.confirmed = known.confirmed || e.confirmed
		known.ServedBefore = known.ServedBefore || e.ServedBefore
		known.Companions = union(known.Companions, e.Companions)
		return newlyConfirmed || len(known.Companions) > before
	}
	s.crashes = append(s.crashes, e)
	slices.SortStableFunc(s.crashes, func(a, b countedCrash) int { return a.at.Compare(b.at) })
	if len(s.crashes) > maxKeptCrashes {
		s.evict()
	}
	return true
}

// evict drops a crash that counts as one with the crash before it, or else the oldest one.
func (s *suspect) evict() {
	drop := 0
	for i := 1; s.part && i < len(s.crashes); i++ {
		if s.crashes[i].at.Sub(s.crashes[i-1].at) < simultaneous {
			drop = i
			break
		}
	}
	s.crashes = slices.Delete(s.crashes, drop, drop+1)
}

// union returns the IDs of both lists, up to maxCompanions.
func union(a, b []ID) []ID {
	list := slices.Clone(a)
	for _, id := range b {
		if len(list) < maxCompanions && !slices.Contains(list, id) {
			list = append(list, id)
		}
	}
	return list
}

// count returns the number of confirmed crashes. Under a part, those at nearly the same time count as
// one, and count half if many other endpoints crashed then too.
func (l *Ledger) count(s *suspect) int {
	halves := 0
	var last time.Time
	for _, e := range s.crashes {
		if !e.confirmed || s.part && halves > 0 && e.at.Sub(last) < simultaneous {
			continue
		}
		last = e.at
		halves += 2
		if s.part && l.othersAt(s, e.at) > maxOthersAtOnce {
			halves--
		}
	}
	return halves / 2
}

// othersAt returns the number of endpoints that crashed at nearly the given time, but not under a subject.
func (l *Ledger) othersAt(s *suspect, at time.Time) int {
	return l.others(s, func(crashed time.Time) bool { return crashed.Sub(at).Abs() < simultaneous })
}

// others returns the number of endpoints that crashed at the selected times, but not under a subject.
func (l *Ledger) others(s *suspect, selected func(at time.Time) bool) int {
	n := 0
	for _, endpoint := range l.recent.Keys() {
		if at, _ := l.recent.Peek(endpoint); selected(at) && !s.contains(endpoint) {
			n++
		}
	}
	return n
}

// companions returns the companions that the subject had at all confirmed crashes. The subject alone
// may crash nothing, so only requests that have them too are refused. A content has none.
func (s *suspect) companions() []ID {
	if !s.part {
		return nil
	}
	var list []ID
	first := true
	for _, e := range s.crashes {
		switch {
		case !e.confirmed:
		case first:
			list, first = slices.Clone(e.Companions), false
		default:
			list = slices.DeleteFunc(list, func(id ID) bool { return !slices.Contains(e.Companions, id) })
		}
	}
	slices.SortFunc(list, compareIDs)
	return list
}

// threshold returns the number of crashes at which a subject is refused. A part that was served before
// may be present at all crashes because its service has few endpoints, so others are refused first. While endpoints
// crash for other reasons, a request that is retried at once may be present again by
// chance. With each crash this is the more likely, the larger the share of the endpoints
// that crashed meanwhile and not under the subject.
func (l *Ledger) threshold(s *suspect, serviceSize int) int {
	since := s.crashes[0].at.Add(-othersWindow)
	others := l.others(s, func(at time.Time) bool { return at.After(since) })
	limit := maxCrashes
	if s.part {
		limit = maxPartCrashes
	}
	if slices.ContainsFunc(s.crashes, func(e countedCrash) bool { return e.ServedBefore }) {
		return limit
	}
	share := min(float64(others)/float64(max(serviceSize, 1)), 1)
	chance := math.Pow(share, minCrashes-1)
	n := minCrashes
	for chance > maxChance && n < limit {
		chance *= share
		n++
	}
	return n
}

func (s *suspect) contains(endpoint string) bool {
	return slices.ContainsFunc(s.crashes, func(e countedCrash) bool { return e.Endpoint == endpoint })
}

// expire drops crashes older than crashTTL.
func (s *suspect) expire(now time.Time) {
	s.crashes = slices.DeleteFunc(s.crashes, func(e countedCrash) bool { return now.Sub(e.at) >= crashTTL })
}

// RetractCrash removes a crash that did not happen, and reports whether the subject was
// refused and is not any more. Only a node at which the subject was refused because of that
// crash clears it, since other nodes know fewer of its crashes.
func (l *Ledger) RetractCrash(now time.Time, id ID, endpoint string) bool {
	s := l.find(id)
	if s == nil {
		return false
	}
	confirmed := l.count(s)
	s.crashes = slices.DeleteFunc(s.crashes, func(e countedCrash) bool { return e.Endpoint == endpoint })
	if len(s.crashes) == 0 {
		l.remove(id)
	}
	return confirmed >= minCrashes && l.count(s) < minCrashes && l.refusals.Clear(now, id)
}

// RetractRecentCrash is RetractCrash for a crash within noticeDelay, and does nothing otherwise.
func (l *Ledger) RetractRecentCrash(now time.Time, id ID, endpoint string) bool {
	s := l.find(id)
	if s == nil || !slices.ContainsFunc(s.crashes, func(e countedCrash) bool { return e.Endpoint == endpoint && now.Sub(e.at) < noticeDelay }) {
		return false
	}
	return l.RetractCrash(now, id, endpoint)
}

// RecordSuccess clears a subject that was served successfully, so that no crash counts
// against it. It reports whether the subject was refused or suspected and is not any more.
func (l *Ledger) RecordSuccess(now time.Time, id ID) bool {
	l.remove(id)
	return l.refusals.Clear(now, id)
}

// Crashes returns the crashes under a subject. Confirmed is also set for those that two nodes found.
func (l *Ledger) Crashes(now time.Time, id ID) []Crash {
	s := l.find(id)
	if s == nil {
		return nil
	}
	s.expire(now)
	list := make([]Crash, len(s.crashes))
	for i, e := range s.crashes {
		list[i] = e.Crash
		list[i].Confirmed = e.Confirmed || e.confirmed
		list[i].Age = now.Sub(e.at)
	}
	return list
}

// Refused reports whether a subject is refused, and for how much longer.
func (l *Ledger) Refused(now time.Time, id ID) (time.Duration, bool) {
	return l.refusals.Remaining(now, id)
}
