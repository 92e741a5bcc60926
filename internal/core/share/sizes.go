package share

import "slices"

const (
	// rememberedSizes is the number of requests of a route from which its sizes are learned, and
	// relearnInterval the number of requests after which they are learned anew.
	rememberedSizes = 256
	relearnInterval = 32
	// largeShare and largestShare are the fractions of a route's requests below the two upper classes:
	// the largest tenth, and the fifth below it.
	largeShare   = 0.7
	largestShare = 0.9
	// maxRoutes bounds the routes whose sizes are learned.
	maxRoutes = 256
)

// The names of the classes of sizes.
const (
	Small   = "small"
	Large   = "large"
	Largest = "largest"
)

// sizes learns the sizes of the requests of one route.
type sizes struct {
	recent             []int
	next               int
	seen               int
	largeAt, largestAt int // the sizes above which a request is large, and one of the largest
}

// sizesOf returns the sizes of a route. Routes beyond maxRoutes share those of the empty name.
func (t *Table) sizesOf(route string) *sizes {
	if s, ok := t.sizes[route]; ok {
		return s
	}
	if len(t.sizes) >= maxRoutes {
		route = ""
	}
	s, ok := t.sizes[route]
	if !ok {
		s = &sizes{}
		t.sizes[route] = s
	}
	return s
}

// observe records the size of a request in tokens; 0 means unknown.
func (s *sizes) observe(tokens int) {
	if tokens <= 0 {
		return
	}
	if len(s.recent) < rememberedSizes {
		s.recent = append(s.recent, tokens)
	} else {
		s.recent[s.next] = tokens
	}
	s.next = (s.next + 1) % rememberedSizes
	s.seen++
	if s.seen%relearnInterval != 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(s.recent))
	s.largeAt = sorted[int(largeShare*float64(len(sorted)))]
	s.largestAt = sorted[int(largestShare*float64(len(sorted)))]
}

// class returns the class of a request. All requests are small until the sizes are known.
func (s *sizes) class(tokens int) string {
	switch {
	case s.largestAt > 0 && tokens >= s.largestAt:
		return Largest
	case s.largeAt > 0 && tokens >= s.largeAt:
		return Large
	}
	return Small
}
