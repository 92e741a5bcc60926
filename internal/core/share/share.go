// Package share tells how much of what each group of requests asked for was served lately, and how much
// room a request has to leave for groups that were served less.
//
// Under too little capacity, whoever needs least and waits longest gets in: requests with a long objective
// fill the queue before requests with a short one, and what fits between them is decided by chance. The
// table counts what was offered and admitted over the last seconds, by route, client account and size, each
// by itself. A request of a group that is ahead of another leaves room in proportion to the lead, so that
// the other one finds room; how much that is in pieces is decided by the admission that asks.
//
// Priorities are pairs of the account's priority and the route's. A group leaves room for groups of the
// same or a higher priority that it is ahead of, and none for groups of lower priority. For accounts of
// higher priority it leaves room as long as these are refused, also if it is served less. Where it is
// served less than a third as often as a group of higher priority, it leaves no room at all.
//
// A returning request counts once, so that clients which return again and again don't gain by it.
//
// # Usage
//
//	t := share.NewTable()
//	t.Offer(now, r)
//	if fits(t.Headroom(now, r)) {
//		t.Admit(now, r)
//	}
package share

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"gradetiller.example/internal/core/poison"
)

const (
	// halfLife is the time after which a request counts half. Load peaks last 4 to 7 s.
	halfLife = 4 * time.Second
	// decayInterval is how often the counts are decayed; they lose under 1% in that time.
	decayInterval = 50 * time.Millisecond
	// minCount is the count below which a group is forgotten, and minOffered the one below which no room
	// is left for it.
	minCount   = 0.05
	minOffered = 1.0
	// floorShare is the part of the share of a group of higher priority below which a group leaves no room.
	floorShare = 1.0 / 3
	// fullLead is the lead from which on a request leaves all the room that it may be asked for. Of two
	// groups, the one served less is to get 0.8 of the other's share.
	fullLead = 0.2
	// deviations is by how many standard deviations two shares must differ to count as different.
	deviations = 1.0
	// maxGroups bounds the groups of a kind; further ones count as one.
	maxGroups = 256
	// maxWaiting bounds the refused requests that are remembered, until they return.
	maxWaiting = 8192
)

// Other is the name of the group of all requests beyond maxGroups.
const Other = "other"

// Priority is the priority of a request. Lower numbers go first; the account's is compared first.
type Priority struct{ Account, Route int }

// Compare compares priorities.
func (p Priority) Compare(q Priority) int {
	return cmp.Or(cmp.Compare(p.Account, q.Account), cmp.Compare(p.Route, q.Route))
}

// Request is what the table needs to know of a request.
type Request struct {
	Route, Account string
	Priority       Priority
	// Tokens is the length of the prompt plus the output.
	Tokens int
	// Content identifies the attempts of a request; zero if unknown.
	Content poison.ID
	// Booked is true if capacity is kept for the request, which leaves no room for others then.
	Booked bool
}

// Kind is a way to group requests.
type Kind int

// The kinds of groups.
const (
	ByRoute Kind = iota
	ByAccount
	BySize
	kinds
)

// String returns the name of the kind.
func (k Kind) String() string { return [...]string{"route", "account", "size"}[k] }

// group identifies a group. Requests of the same name but with different priorities are different groups.
type group struct {
	kind     Kind
	name     string
	priority Priority
}

// count counts the requests of a group, decayed.
type count struct {
	group
	offered, admitted float64
}

// Stat is the state of one group.
type Stat struct {
	Kind     Kind
	Name     string
	Priority Priority
	// Offered and Admitted are the requests of the last seconds, decayed with a half-life of 4 s.
	Offered, Admitted float64
	// Headroom is what the group's requests are asked to leave, from 0 to 1.
	Headroom float64
}

// Table holds the shares of all groups. It is not safe for concurrent use.
type Table struct {
	decayed time.Time
	index   map[group]*count
	lists   [kinds][]*count
	sizes   map[string]*sizes
	// refused holds the requests that were offered and not admitted, until they return.
	refused *lru.Cache[poison.ID, struct{}]
}

// NewTable returns an empty table.
func NewTable() *Table {
	refused, err := lru.New[poison.ID, struct{}](maxWaiting)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &Table{index: make(map[group]*count), sizes: make(map[string]*sizes), refused: refused}
}

// Offer records that a request is asked to be admitted.
func (t *Table) Offer(now time.Time, r Request) {
	t.decay(now)
	if r.Content != (poison.ID{}) {
		if t.refused.Contains(r.Content) {
			return
		}
		t.refused.Add(r.Content, struct{}{})
	}
	t.sizesOf(r.Route).observe(r.Tokens)
	for _, c := range t.groups(r) {
		c.offered++
	}
}

// Admit records that a request is admitted.
func (t *Table) Admit(now time.Time, r Request) {
	t.decay(now)
	t.refused.Remove(r.Content)
	for _, c := range t.groups(r) {
		c.admitted++
	}
}

// Headroom returns which part of the room that it may be asked for a request has to leave, from 0 to 1.
func (t *Table) Headroom(now time.Time, r Request) float64 {
	if r.Booked {
		return 0
	}
	t.decay(now)
	headroom := 0.0
	for _, own := range t.groups(r) {
		h, floor := t.headroomOf(own)
		if floor {
			return 0
		}
		headroom = max(headroom, h)
	}
	return headroom
}

// headroomOf returns what the requests of a group have to leave for the groups of its kind, and whether the
// group is at its floor.
func (t *Table) headroomOf(own *count) (headroom float64, floor bool) {
	share, variance := own.share()
	for _, c := range t.lists[own.kind] {
		priority := c.priority.Compare(own.priority)
		if c == own || c.offered < minOffered || priority > 0 {
			continue
		}
		other, otherVariance := c.share()
		noise := deviations * math.Sqrt(variance+otherVariance)
		if priority < 0 && share < floorShare*other-noise {
			return 0, true
		}
		lead := share - other
		if c.priority.Account < own.priority.Account {
			// With the lead alone, accounts of low priority were served more than others (0.95 to 0.84 of
			// those of high priority, at 2.2 times the load of deployment 1): what is due last finds room
			// first.
			lead = 1 - other
		}
		headroom = max(headroom, min((lead-noise)/fullLead, 1))
	}
	return headroom, false
}

// share returns the share of the group's requests that was admitted, and its variance. One more request is
// assumed of each outcome, so that the variance of few requests is large.
func (c *count) share() (share, variance float64) {
	n := c.offered + 2
	p := min((c.admitted+1)/n, 1)
	return p, p * (1 - p) / n
}

// groups returns the groups of a request, which are added if needed.
func (t *Table) groups(r Request) [kinds]*count {
	return [kinds]*count{
		t.group(group{ByRoute, r.Route, r.Priority}),
		t.group(group{ByAccount, r.Account, r.Priority}),
		t.group(group{BySize, t.sizesOf(r.Route).class(r.Tokens), r.Priority}),
	}
}

func (t *Table) group(g group) *count {
	c, ok := t.index[g]
	if ok {
		return c
	}
	if len(t.lists[g.kind]) >= maxGroups {
		g = group{kind: g.kind, name: Other}
		if c, ok := t.index[g]; ok {
			return c
		}
	}
	c = &count{group: g}
	t.index[g] = c
	t.lists[g.kind] = append(t.lists[g.kind], c)
	return c
}

// decay lowers all counts by the time that has passed, and forgets groups without requests.
func (t *Table) decay(now time.Time) {
	passed := now.Sub(t.decayed)
	if passed < decayInterval {
		return
	}
	t.decayed = now
	factor := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	for k := range t.lists {
		t.lists[k] = slices.DeleteFunc(t.lists[k], func(c *count) bool {
			c.offered *= factor
			c.admitted *= factor
			if c.offered >= minCount {
				return false
			}
			delete(t.index, c.group)
			return true
		})
	}
}

// Stats returns the state of all groups by kind, those with the most requests first.
func (t *Table) Stats(now time.Time) []Stat {
	t.decay(now)
	var list []Stat
	for _, counts := range t.lists {
		for _, c := range counts {
			h, floor := t.headroomOf(c)
			if floor {
				h = 0
			}
			list = append(list, Stat{Kind: c.kind, Name: c.name, Priority: c.priority, Offered: c.offered, Admitted: c.admitted, Headroom: h})
		}
	}
	slices.SortFunc(list, func(a, b Stat) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(b.Offered, a.Offered), cmp.Compare(a.Name, b.Name), a.Priority.Compare(b.Priority))
	})
	return list
}

// String returns the state as text: kind, name, priorities, admitted of offered requests, and headroom.
func (s Stat) String() string {
	return fmt.Sprintf("%v %s/%d/%d: %.0f of %.0f, headroom %.2f", s.Kind, s.Name, s.Priority.Account, s.Priority.Route, s.Admitted, s.Offered, s.Headroom)
}

// Largest returns the state of the n groups with the most requests.
func (t *Table) Largest(now time.Time, n int) []Stat {
	list := t.Stats(now)
	slices.SortStableFunc(list, func(a, b Stat) int { return cmp.Compare(b.Offered, a.Offered) })
	return list[:min(len(list), n)]
}

// RouteHeadrooms returns the largest headroom of each route.
func (t *Table) RouteHeadrooms(now time.Time) map[string]float64 {
	headrooms := make(map[string]float64)
	for _, s := range t.Stats(now) {
		if s.Kind == ByRoute {
			headrooms[s.Name] = max(headrooms[s.Name], s.Headroom)
		}
	}
	return headrooms
}
