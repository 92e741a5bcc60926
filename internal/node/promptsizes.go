package node

import "sync"

// promptSizes keeps the average prompt size of each route, in tokens. It is used to avoid refusing
// large requests more often than others because their prefill takes longer.
type promptSizes struct {
	mu       sync.Mutex
	averages map[string]float64
}

const sizeEWMAWeight = 0.05

// excess returns the number of tokens by which a prompt exceeds the average of its route, and
// adds the prompt to that average.
func (s *promptSizes) excess(route string, tokens int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	usual, ok := s.averages[route]
	if !ok {
		usual = float64(tokens)
	}
	s.averages[route] = usual + sizeEWMAWeight*(float64(tokens)-usual)
	return max(tokens-int(usual), 0)
}
