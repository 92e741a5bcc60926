package standin

import (
	"maps"
	"sync"
)

// Count is the number of runs of one request ID in one pool.
type Count struct {
	RequestID  string `json:"request_id"`
	Pool       string `json:"pool"`
	Runs       int    `json:"runs"`
	Repeatable bool   `json:"repeatable"`
}

// Counts counts runs by pool and request ID, and cost by stage.
type Counts struct {
	mu   sync.Mutex
	runs map[[2]string]*Count
	cost map[string]float64
}

// NewCounts returns empty counts.
func NewCounts() *Counts {
	return &Counts{runs: make(map[[2]string]*Count), cost: make(map[string]float64)}
}

func (c *Counts) addCost(stage string, cost float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cost[stage] += cost
}

// Cost returns the cost by stage: processing seconds times the price of the endpoint.
func (c *Counts) Cost() map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.cost)
}

func (c *Counts) addRun(pool string, body callRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := [2]string{pool, body.RequestID}
	n, ok := c.runs[key]
	if !ok {
		n = &Count{RequestID: body.RequestID, Pool: pool, Repeatable: body.Repeatable}
		c.runs[key] = n
	}
	n.Runs++
}

// All returns a copy of the counts.
func (c *Counts) All() []Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]Count, 0, len(c.runs))
	for _, n := range c.runs {
		all = append(all, *n)
	}
	return all
}

// Doubled returns the number of non-repeatable calls that ran more than once.
func (c *Counts) Doubled() int {
	doubled := 0
	for _, n := range c.All() {
		if !n.Repeatable && n.Runs > 1 {
			doubled++
		}
	}
	return doubled
}
