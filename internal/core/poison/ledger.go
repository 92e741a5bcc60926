package poison

import (
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"gradetiller.example/internal/core/hash"
)

const (
	// endsToRefuse is how many endpoints must have ended under a request before it is
	// refused. In a model of 18 endpoints that are back after 4 s, 70 requests a second
	// and two that crash what runs them, 8.8 tries of others are refused when one end is
	// enough, 0 to 0.7 with two, none with three; 2, 4 and 6 endpoints end.
	endsToRefuse = 3
	// endLife is how long an end counts against the requests that ran there.
	endLife = 10 * time.Minute
	// mostSuspects bounds the requests of which ends are remembered, 64 for a crash of a
	// model engine at the most.
	mostSuspects = 4096
	// owners is how many nodes count the ends of a request: when the first are lost, one
	// that knows them is left.
	owners = 3
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
}

// suspect is a request under which endpoints ended.
type suspect struct {
	ends []end
}

// end is an endpoint that ended while a request ran there.
type end struct {
	endpoint string
	at       time.Time
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	suspects, err := simplelru.NewLRU[ID, *suspect](mostSuspects, nil)
	if err != nil {
		// The size is a constant of this file.
		panic(err)
	}
	return &Ledger{suspects: suspects, refusals: NewRefusals()}
}

// Refusals returns the refused requests.
func (l *Ledger) Refusals() *Refusals { return l.refusals }

// Suspects returns how many requests ends are remembered of.
func (l *Ledger) Suspects() int { return l.suspects.Len() }

// End counts an endpoint's end under a request, once for each life of an endpoint, and
// reports whether the request is refused from now on and was not before.
func (l *Ledger) End(now time.Time, id ID, endpoint string) bool {
	s, ok := l.suspects.Get(id)
	if !ok {
		s = &suspect{}
		l.suspects.Add(id, s)
	}
	s.expire(now)
	if slices.ContainsFunc(s.ends, func(e end) bool { return e.endpoint == endpoint }) {
		return false
	}
	s.ends = append(s.ends, end{endpoint: endpoint, at: now})
	if over := len(s.ends) - endsToRefuse; over > 0 {
		s.ends = slices.Clone(s.ends[over:])
	}
	needed := endsToRefuse
	if l.refusals.OnProbation(now, id) {
		needed = 1
	}
	if len(s.ends) < needed {
		return false
	}
	return l.refusals.Refuse(now, id)
}

// expire forgets the ends that are too long ago.
func (s *suspect) expire(now time.Time) {
	s.ends = slices.DeleteFunc(s.ends, func(e end) bool { return now.Sub(e.at) >= endLife })
}

// TakeBack forgets an end that was none, and reports whether the request is refused no
// more that was before.
func (l *Ledger) TakeBack(now time.Time, id ID, endpoint string) bool {
	s, ok := l.suspects.Peek(id)
	if !ok {
		return false
	}
	s.ends = slices.DeleteFunc(s.ends, func(e end) bool { return e.endpoint == endpoint })
	if len(s.ends) == 0 {
		l.suspects.Remove(id)
	}
	return len(s.ends) < endsToRefuse && l.refusals.Pardon(now, id)
}

// Served takes in that a request was served well. It reports whether the request was a
// suspect here, so that the owners are to be told.
func (l *Ledger) Served(now time.Time, id ID) bool {
	suspected := l.suspects.Remove(id)
	return l.refusals.Pardon(now, id) || suspected
}

// Ends lists the endpoints that ended under a request.
func (l *Ledger) Ends(now time.Time, id ID) []string {
	s, ok := l.suspects.Peek(id)
	if !ok {
		return nil
	}
	s.expire(now)
	list := make([]string, len(s.ends))
	for i, e := range s.ends {
		list[i] = e.endpoint
	}
	return list
}

// Refused reports whether a request is refused, and for how long still.
func (l *Ledger) Refused(now time.Time, id ID) (time.Duration, bool) {
	return l.refusals.Left(now, id)
}
