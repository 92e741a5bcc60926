package poison

import (
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gradetiller.example/internal/core/hash"
)

const (
	// fewestEnds is how many endpoints must have ended under a request before it is
	// refused, when hardly any others end; mostEnds are always enough.
	fewestEnds = 3
	mostEnds   = 4
	// endsToPart is after how many ends a request is kept apart: after one, all that ran
	// at a crashed endpoint would lose the endpoints that hold their prompts.
	endsToPart = 2
	// mostKept bounds the ends that are remembered of a request, agreed or not.
	mostKept = 2 * mostEnds
	// byChance is how likely it may be at most that a request was there by chance
	// whenever an endpoint ended. In simulated systems whose endpoints crash for other
	// reasons too, 43 of 84,097 other requests were refused when three ends were always
	// enough, none of 84,092 with this (TestIncidents, others-broken, 30 seeds).
	byChance = 0.002
	// before is how long before the first end under a request others count as beside it.
	before = 5 * time.Second
	// mostEnded bounds the ends that are remembered to tell how usual they are.
	mostEnded = 512
	// endLife is how long an end counts against the requests that ran there.
	endLife = 10 * time.Minute
	// mostSuspects bounds the requests of which ends are remembered, 64 for a crash of a
	// model engine at the most.
	mostSuspects = 4096
	// owners is how many nodes count the ends of a request: while three in ten of them
	// are lost, all of a request's are in one case of 400.
	owners = 5
)

// Owners names the nodes that count the ends of a request, by rendezvous hashing over the
// live nodes. Nodes that know the same others name the same owners.
func Owners(id ID, nodes []string) []string {
	ranked := hash.Rank(id.Key(), nodes)
	return ranked[:min(len(ranked), owners)]
}

// Ledger is what one node knows of the requests under which endpoints ended. It is not
// safe for concurrent use.
type Ledger struct {
	suspects *simplelru.LRU[ID, *suspect]
	refusals *Refusals
	// ended tells when the latest endpoints ended, under any request.
	ended *simplelru.LRU[string, time.Time]
}

// suspect is a request under which endpoints ended.
type suspect struct {
	ends []counted
}

// counted is an end under a request.
type counted struct {
	Crash
	at time.Time
	// agreed ends were found by two nodes, or by the list; the others tell only that this
	// node can't reach the endpoint.
	agreed bool
}

// Crash is an endpoint that ended while a request ran there, as nodes tell each other.
type Crash struct {
	Endpoint string
	Address  string
	// Among is how many endpoints serve the same.
	Among int
	// Sure ends were found by the list of endpoints; the others by an address that refused
	// a connection.
	Sure bool
	// Alive tells that the endpoint was said to have ended, and lives on.
	Alive bool
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{suspects: newLRU[ID, *suspect](mostSuspects), refusals: NewRefusals(), ended: newLRU[string, time.Time](mostEnded)}
}

// Refusals returns the refused requests.
func (l *Ledger) Refusals() *Refusals { return l.refusals }

// Suspects returns how many requests ends are remembered of.
func (l *Ledger) Suspects() int { return l.suspects.Len() }

// AddCrash counts an endpoint's end under a request, once for each life of an endpoint, and
// reports whether the request is refused from now on and was not before. Only ends that
// are agreed count for that.
func (l *Ledger) AddCrash(now time.Time, id ID, e Crash, agreed bool) bool {
	s, ok := l.suspects.Get(id)
	if !ok {
		s = &suspect{}
		l.suspects.Add(id, s)
	}
	s.expire(now)
	if !l.ended.Contains(e.Endpoint) {
		l.ended.Add(e.Endpoint, now)
	}
	if !s.add(counted{Crash: e, at: now, agreed: agreed}) {
		return false
	}
	if s.agreed() < l.needed(s, e.Among) && !(agreed && l.refusals.OnProbation(now, id)) {
		return false
	}
	return l.refusals.Refuse(now, id, s.ends[0].at)
}

// add adds an end, or notes that it is agreed now. It reports whether that is new.
func (s *suspect) add(e counted) bool {
	at := slices.IndexFunc(s.ends, func(o counted) bool { return o.Endpoint == e.Endpoint })
	if at >= 0 {
		fresh := e.agreed && !s.ends[at].agreed
		s.ends[at].agreed = s.ends[at].agreed || e.agreed
		return fresh
	}
	s.ends = append(s.ends, e)
	if over := len(s.ends) - mostKept; over > 0 {
		s.ends = slices.Clone(s.ends[over:])
	}
	return true
}

// agreed counts the ends that are agreed.
func (s *suspect) agreed() int {
	n := 0
	for _, e := range s.ends {
		if e.agreed {
			n++
		}
	}
	return n
}

// needed is how many ends a request is refused for. While others end for other reasons, a
// request that comes back at once may be there again by chance: with each end the more
// likely, the larger the share of the endpoints that ended meanwhile and not under it.
func (l *Ledger) needed(s *suspect, among int) int {
	since := s.ends[0].at.Add(-before)
	others := 0
	for _, endpoint := range l.ended.Keys() {
		if at, _ := l.ended.Peek(endpoint); at.After(since) && !s.has(endpoint) {
			others++
		}
	}
	share := min(float64(others)/float64(max(among, 1)), 1)
	chance := math.Pow(share, fewestEnds-1)
	n := fewestEnds
	for chance > byChance && n < mostEnds {
		chance *= share
		n++
	}
	return n
}

func (s *suspect) has(endpoint string) bool {
	return slices.ContainsFunc(s.ends, func(e counted) bool { return e.Endpoint == endpoint })
}

// expire forgets the ends that are too long ago.
func (s *suspect) expire(now time.Time) {
	s.ends = slices.DeleteFunc(s.ends, func(e counted) bool { return now.Sub(e.at) >= endLife })
}

// RetractCrash forgets an end that was none, and reports whether the request is refused no
// more that was before. Only a node at which it was refused by that end pardons it: others
// know fewer of its ends.
func (l *Ledger) RetractCrash(now time.Time, id ID, endpoint string) bool {
	s, ok := l.suspects.Peek(id)
	if !ok {
		return false
	}
	agreed := s.agreed()
	s.ends = slices.DeleteFunc(s.ends, func(e counted) bool { return e.Endpoint == endpoint })
	if len(s.ends) == 0 {
		l.suspects.Remove(id)
	}
	return agreed >= fewestEnds && s.agreed() < fewestEnds && l.refusals.Pardon(now, id)
}

// RecordSuccess takes in that a request was served well, so that no end counts against it. It
// reports whether the request is refused no more that was before.
func (l *Ledger) RecordSuccess(now time.Time, id ID) bool {
	l.suspects.Remove(id)
	return l.refusals.Pardon(now, id)
}

// Crashes lists the ends under a request. Those that are agreed are sure.
func (l *Ledger) Crashes(now time.Time, id ID) []Crash {
	s, ok := l.suspects.Peek(id)
	if !ok {
		return nil
	}
	s.expire(now)
	list := make([]Crash, len(s.ends))
	for i, e := range s.ends {
		list[i] = e.Crash
		list[i].Sure = e.Sure || e.agreed
	}
	return list
}

// Refused reports whether a request is refused, and for how long still.
func (l *Ledger) Refused(now time.Time, id ID) (time.Duration, bool) {
	return l.refusals.Remaining(now, id)
}
