package reach

import (
	"cmp"
	"slices"
	"time"
)

const (
	// relayDelay is how long a direct attempt to connect may go unanswered before other nodes are
	// asked: several round trips within a region, and a third of the shortest objectives.
	relayDelay = 100 * time.Millisecond
	// retryInterval is how often a lost path is tried again.
	retryInterval = 500 * time.Millisecond
	// slowPeriod is how long other nodes are asked at once after a direct attempt was slow.
	slowPeriod = time.Second
	// goneTTL is how long an endpoint that other nodes could not reach either counts as gone. Until
	// then no node is asked again.
	goneTTL = time.Second
	// minServiceSuspects and minSuspects are how many endpoints, of a service or of all services,
	// must stop answering for all paths to be suspected.
	minServiceSuspects = 2
	minSuspects        = 3
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
	// Slow means that an attempt to open a connection has gone unanswered for Route.RelayAfter.
	Slow
)

// String returns the name of the outcome as used in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"opened", "answered", "refused", "silent", "slow"}[o]
}

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
	// lostAt is when the path was found to be lost, or the zero time if it works. cause is the
	// outcome of the last attempt that failed.
	lostAt time.Time
	cause  Outcome
	// slowAt is when an attempt was last slow, and triedAt when the last one was made.
	slowAt, triedAt time.Time
	// suspectedAt is when the path was last counted among the suspects.
	suspectedAt time.Time
	// relayedAt is when another node last reached the endpoint, and goneAt when other nodes last
	// could not.
	relayedAt, goneAt time.Time
}

func (p *path) lost() bool { return !p.lostAt.IsZero() }

// reachedByOthers reports whether another node reached the endpoint since its path was lost, or
// just before, while a direct attempt went unanswered.
func (p *path) reachedByOthers() bool {
	return !p.relayedAt.IsZero() && !p.relayedAt.Before(p.lostAt.Add(-slowPeriod))
}

// service holds the paths to the endpoints of a service.
type service struct {
	paths map[string]*path
	lost  int
	// openedAt is when a direct connection to any of the endpoints last worked, and suspects how
	// many of them stopped answering since.
	openedAt time.Time
	suspects int
	// relayedAt is when another node last reached any of the endpoints.
	relayedAt time.Time
}

// Table holds the paths from one node to the endpoints that it opened connections to. It is not
// safe for concurrent use.
type Table struct {
	services map[string]*service
	// openedAt and suspects are as in service, for all services.
	openedAt time.Time
	suspects int
	// silentAt is when another node last reached an endpoint whose path had become silent.
	silentAt time.Time
}

// NewTable returns a table in which all paths are assumed to work.
func NewTable() *Table { return &Table{services: make(map[string]*service)} }

func (t *Table) pathTo(to Target) (*service, *path) {
	s, ok := t.services[to.Service]
	if !ok {
		s = &service{paths: make(map[string]*path)}
		t.services[to.Service] = s
	}
	p, ok := s.paths[to.Endpoint]
	if !ok {
		p = &path{}
		s.paths[to.Endpoint] = p
	}
	return s, p
}

// Record records the outcome of an attempt to open or use a direct connection. An answer on an old
// connection does not restore a path whose new connections are refused.
func (t *Table) Record(now time.Time, to Target, o Outcome) Change {
	s, p := t.pathTo(to)
	switch o {
	case Opened, Answered:
		s.openedAt, s.suspects = now, 0
		t.openedAt, t.suspects = now, 0
		if !p.lost() || o == Answered && p.cause == Refused {
			return Unchanged
		}
		*p = path{}
		s.lost--
		return Restored
	case Slow:
		p.slowAt = now
		t.suspect(now, s, p)
		return Unchanged
	}
	p.cause = o
	t.suspect(now, s, p)
	if p.lost() {
		return Unchanged
	}
	p.lostAt = now
	s.lost++
	return Lost
}

// suspect counts an endpoint that stopped answering, once after each direct connection that worked.
func (t *Table) suspect(now time.Time, s *service, p *path) {
	if !p.suspectedAt.After(s.openedAt) {
		s.suspects++
	}
	if !p.suspectedAt.After(t.openedAt) {
		t.suspects++
	}
	p.suspectedAt = now
}

// suspected reports whether all paths to the endpoints of a service are suspected to be lost: several
// endpoints stopped answering, or none has answered since a path to another service was lost.
func (t *Table) suspected(s *service) bool {
	return s.suspects >= minServiceSuspects || t.suspects >= minSuspects || t.silentAt.After(s.openedAt)
}

// RecordRelay records whether another node, whose own paths it trusts, reached an endpoint. It
// reports whether this is the first to reach it since the path was lost.
func (t *Table) RecordRelay(now time.Time, to Target, reached bool) (first bool) {
	s, p := t.pathTo(to)
	if !reached {
		p.goneAt = now
		return false
	}
	s.relayedAt = now
	first = p.lost() && !p.reachedByOthers()
	if first && p.cause == Silent {
		t.silentAt = now
	}
	p.relayedAt, p.goneAt = now, time.Time{}
	return first
}

// Route tells how to open a connection to an endpoint.
type Route struct {
	// Reuse reports whether an idle connection may be used instead.
	Reuse bool
	// Direct reports whether to dial the endpoint.
	Direct bool
	// Relay reports whether to ask other nodes to connect, once the direct attempt has failed or
	// has gone unanswered for RelayAfter.
	Relay      bool
	RelayAfter time.Duration
}

// Route returns how to open the next connection to an endpoint, without recording an attempt.
func (t *Table) Route(now time.Time, to Target) Route {
	s, p := t.services[to.Service], &path{}
	if s == nil {
		s = &service{}
	}
	if known, ok := s.paths[to.Endpoint]; ok {
		p = known
	}
	r := Route{Reuse: true, Direct: true, Relay: now.Sub(p.goneAt) >= goneTTL, RelayAfter: relayDelay}
	switch {
	case p.lost():
		// Old connections may live on where new ones are refused, but not where packets vanish.
		r.Reuse, r.RelayAfter = p.cause == Refused, 0
		r.Direct = !r.Relay || !p.reachedByOthers() || now.Sub(p.triedAt) >= retryInterval
	case t.suspected(s):
		r.Reuse, r.RelayAfter = false, 0
	case now.Sub(p.slowAt) < slowPeriod:
		r.RelayAfter = 0
	}
	return r
}

// RecordAttempt records that a direct attempt to connect begins.
func (t *Table) RecordAttempt(now time.Time, to Target) {
	_, p := t.pathTo(to)
	p.triedAt = now
}

// BeginCheck is RecordAttempt for an attempt that only checks the path. It returns false if another
// attempt was made so recently that none is needed.
func (t *Table) BeginCheck(now time.Time, to Target) bool {
	_, p := t.pathTo(to)
	if now.Sub(p.triedAt) < retryInterval {
		return false
	}
	p.triedAt = now
	return true
}

// LostHere reports whether the path to an endpoint is lost although another node reaches it, so that
// what fails there says nothing about the endpoint. If this node has lost most of its paths to the
// service, it is enough that another node reaches other endpoints and does not miss this one.
func (t *Table) LostHere(to Target) bool {
	s, ok := t.services[to.Service]
	if !ok {
		return false
	}
	p, ok := s.paths[to.Endpoint]
	if !ok || !p.lost() {
		return false
	}
	return p.reachedByOthers() || !t.Trusted(to) && p.goneAt.Before(p.lostAt) && s.relayedAt.After(p.lostAt.Add(-slowPeriod))
}

// SilentHere reports whether LostHere holds and packets on the path vanish, so that nothing more is to
// be expected from its connections.
func (t *Table) SilentHere(to Target) bool {
	return t.LostHere(to) && t.services[to.Service].paths[to.Endpoint].cause == Silent
}

// RecentlyLost reports whether the path to an endpoint is lost and was tried so recently that it
// need not be tried again.
func (t *Table) RecentlyLost(now time.Time, to Target) bool {
	s, ok := t.services[to.Service]
	if !ok {
		return false
	}
	p, ok := s.paths[to.Endpoint]
	return ok && p.lost() && now.Sub(p.triedAt) < retryInterval
}

// Trusted reports whether this node's failure to connect to an endpoint shows that the endpoint is
// down: it does not if most of the node's paths to the service are lost.
func (t *Table) Trusted(to Target) bool {
	s, ok := t.services[to.Service]
	return !ok || s.lost < minServiceSuspects || 2*s.lost < len(s.paths)
}

// Retain removes the endpoints that listed returns false for.
func (t *Table) Retain(listed func(endpoint string) bool) {
	for name, s := range t.services {
		for endpoint, p := range s.paths {
			if listed(endpoint) {
				continue
			}
			delete(s.paths, endpoint)
			if p.lost() {
				s.lost--
			}
		}
		if len(s.paths) == 0 {
			delete(t.services, name)
		}
	}
}

// ServiceStats counts the lost paths to the endpoints of a service.
type ServiceStats struct {
	Service string
	// Lost is the number of endpoints to which no connection can be opened. At Refused of them it
	// is refused; the others are silent. Relayed is how many of them another node reaches.
	Lost, Refused, Relayed int
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
	var list []ServiceStats
	for name, s := range t.services {
		if s.lost == 0 {
			continue
		}
		stats := ServiceStats{Service: name, Lost: s.lost, OpenedAt: s.openedAt}
		for endpoint, p := range s.paths {
			if p.lost() {
				stats.add(endpoint, p, p.reachedByOthers())
			}
		}
		slices.Sort(stats.Examples)
		stats.Examples = stats.Examples[:min(len(stats.Examples), maxExamples)]
		list = append(list, stats)
	}
	slices.SortFunc(list, func(a, b ServiceStats) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

func (s *ServiceStats) add(endpoint string, p *path, relayed bool) {
	if p.cause == Refused {
		s.Refused++
	}
	if relayed {
		s.Relayed++
	}
	if s.Since.IsZero() || p.lostAt.Before(s.Since) {
		s.Since = p.lostAt
	}
	s.Examples = append(s.Examples, endpoint)
}

// LostCount returns the number of lost paths.
func (t *Table) LostCount() int {
	n := 0
	for _, s := range t.services {
		n += s.lost
	}
	return n
}
