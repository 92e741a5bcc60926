package origin

// Result is the state of a search.
type Result int

// The results.
const (
	// Pending means that nodes have not answered yet.
	Pending Result = iota
	// Found means that the origin is known.
	Found
	// Unknown means that no node has a record.
	Unknown
	// Ambiguous means that there are records of different origins.
	Ambiguous
)

// String returns the name of the result as used in logs.
func (r Result) String() string { return [...]string{"pending", "found", "unknown", "ambiguous"}[r] }

// Search asks the owners of a stream for its record, in rounds. It is not safe for concurrent use.
type Search struct {
	// rounds holds the nodes to ask in each round.
	rounds [][]Node
	// asked is the number of nodes that were asked, and open that of those that have not answered.
	asked, open int
	record      Record
	result      Result
}

// NewSearch returns the search of a node for the record of a stream, at the owners of the given keys.
func NewSearch(m Members, self string, keys ...Key) *Search {
	s := &Search{}
	var seen []Node
	for round := range searchRounds {
		before := len(seen)
		for _, key := range keys {
			ranked := m.ranked(key, self, (round+1)*ownerCount)
			seen = appendNew(seen, ranked[min(round*ownerCount, len(ranked)):]...)
		}
		s.rounds = append(s.rounds, seen[before:])
	}
	return s
}

// Next returns the nodes to ask in the next round, or none.
func (s *Search) Next() []string {
	var round []Node
	for len(s.rounds) > 0 && len(round) == 0 {
		round, s.rounds = s.rounds[0], s.rounds[1:]
	}
	s.asked += len(round)
	s.open += len(round)
	if s.open == 0 && s.result == Pending {
		s.result = Unknown
	}
	return namesOf(round)
}

// Answer records the answer of a node that was asked; ok is false if it has no record. It reports
// whether Next is to be called at once, since all others have answered.
func (s *Search) Answer(r Record, ok bool) (next bool) {
	s.open--
	switch {
	case ok && r.Ambiguous:
		s.result = Ambiguous
	case ok:
		s.result, s.record = Found, r
	}
	return s.result == Pending && s.open == 0
}

// Result returns the record, if it was found, and the state of the search.
func (s *Search) Result() (Record, Result) { return s.record, s.result }

// Asked returns the number of nodes that were asked so far.
func (s *Search) Asked() int { return s.asked }

// Open returns the number of nodes that were asked and have not answered.
func (s *Search) Open() int { return s.open }
