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
	ranked []Node
	asked  int
	// open is the number of nodes that were asked and have not answered.
	open   int
	record Record
	result Result
}

// NewSearch returns the search of a node for the record of a stream.
func NewSearch(m Members, key Key, self string) *Search {
	return &Search{ranked: m.ranked(key, self, searchRounds*ownerCount)}
}

// Next returns the nodes to ask in the next round, or none.
func (s *Search) Next() []string {
	round := s.ranked[s.asked:min(s.asked+ownerCount, len(s.ranked))]
	s.asked += len(round)
	s.open += len(round)
	if s.open == 0 && s.result == Pending {
		s.result = Unknown
	}
	return namesOf(round)
}

// Answer records the answer of a node that was asked; ok is false if it has no record. It reports
// whether the nodes of the next round are to be asked at once, since all others have answered.
func (s *Search) Answer(r Record, ok bool) (next bool) {
	s.open--
	switch {
	case ok && r.Ambiguous:
		s.result = Ambiguous
	case ok:
		s.result, s.record = Found, r
	}
	if s.result != Pending || s.open > 0 {
		return false
	}
	if s.asked == len(s.ranked) {
		s.result = Unknown
		return false
	}
	return true
}

// Result returns the record, if it was found, and the state of the search.
func (s *Search) Result() (Record, Result) { return s.record, s.result }

// MaxAsked returns the number of nodes that the search asks at most.
func (s *Search) MaxAsked() int { return len(s.ranked) }

// Asked returns the number of nodes that were asked so far.
func (s *Search) Asked() int { return s.asked }

// Open returns the number of nodes that were asked and have not answered.
func (s *Search) Open() int { return s.open }
