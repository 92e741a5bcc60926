package reach

import (
	"cmp"
	"slices"
	"time"
)

// Outcome is the outcome of opening or using a direct connection to an endpoint.
type Outcome int

const (
	// Opened means that a connection was opened.
	Opened Outcome = iota
	// Answered means that the endpoint answered on a connection that was opened before.
	Answered
	// Refused means that a connection was refused or reset while it was opened.
	Refused
	// Silent means that nothing answered an attempt to open a connection.
	Silent
)

// String returns the name of the outcome as used in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"opened", "answered", "refused", "silent"}[o]
}

// failed reports whether the outcome shows that the path is lost.
func (o Outcome) failed() bool { return o == Refused || o == Silent }

// Target is an endpoint and the service that it belongs to.
type Target struct{ Endpoint, Service string }

// Change is the effect of an outcome on the path to an endpoint.
type Change int

const (
	// Unchanged means that the path was lost or working before too.
	Unchanged Change = iota
	// Lost means that the path worked, or was unknown, and is lost now.
	Lost
	// Restored means that the path was lost and works again.
	Restored
)

// path is what is known of the path to one endpoint.
type path struct {
	service string
	// lostAt is when the path was found to be lost, or the zero time if it works. cause is the
	// outcome of the last attempt that failed.
	lostAt time.Time
	cause  Outcome
}

func (p *path) lost() bool { return !p.lostAt.IsZero() }

// Table holds the paths from one node to the endpoints that it opened connections to. It is not
// safe for concurrent use.
type Table struct {
	paths map[string]*path
	// openedAt holds when a direct connection to any endpoint of a service last worked.
	openedAt map[string]time.Time
}

// NewTable returns a table in which all paths are assumed to work.
func NewTable() *Table {
	return &Table{paths: make(map[string]*path), openedAt: make(map[string]time.Time)}
}

// Record records the outcome of an attempt to open or use a direct connection. An answer on an old
// connection does not restore a path whose new connections are refused.
func (t *Table) Record(now time.Time, to Target, o Outcome) Change {
	p, known := t.paths[to.Endpoint]
	if !known {
		p = &path{service: to.Service}
		t.paths[to.Endpoint] = p
	}
	if o.failed() {
		p.cause = o
		if p.lost() {
			return Unchanged
		}
		p.lostAt = now
		return Lost
	}
	t.openedAt[to.Service] = now
	if !p.lost() || o == Answered && p.cause == Refused {
		return Unchanged
	}
	p.lostAt = time.Time{}
	return Restored
}

// Retain removes the endpoints that listed returns false for.
func (t *Table) Retain(listed func(endpoint string) bool) {
	for endpoint := range t.paths {
		if !listed(endpoint) {
			delete(t.paths, endpoint)
		}
	}
}

// ServiceStats counts the lost paths to the endpoints of a service.
type ServiceStats struct {
	Service string
	// Lost is the number of endpoints to which no connection can be opened. At Refused of them it
	// is refused; the others are silent.
	Lost, Refused int
	// Since is when the first of these paths was lost.
	Since time.Time
	// OpenedAt is when a direct connection to any endpoint of the service last worked, or the zero
	// time.
	OpenedAt time.Time
	// Examples are some of the endpoints, sorted.
	Examples []string
}

// maxExamples bounds ServiceStats.Examples.
const maxExamples = 4

// Stats returns the services with lost paths, sorted by name.
func (t *Table) Stats() []ServiceStats {
	byService := make(map[string]*ServiceStats)
	for endpoint, p := range t.paths {
		if !p.lost() {
			continue
		}
		s, ok := byService[p.service]
		if !ok {
			s = &ServiceStats{Service: p.service, Since: p.lostAt, OpenedAt: t.openedAt[p.service]}
			byService[p.service] = s
		}
		s.Lost++
		if p.cause == Refused {
			s.Refused++
		}
		if p.lostAt.Before(s.Since) {
			s.Since = p.lostAt
		}
		s.Examples = append(s.Examples, endpoint)
	}
	list := make([]ServiceStats, 0, len(byService))
	for _, s := range byService {
		slices.Sort(s.Examples)
		s.Examples = s.Examples[:min(len(s.Examples), maxExamples)]
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b ServiceStats) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// LostCount returns the number of lost paths.
func (t *Table) LostCount() int {
	n := 0
	for _, p := range t.paths {
		if p.lost() {
			n++
		}
	}
	return n
}
