package place

// maxPrefixes bounds the size of a prefixTable; the oldest entry is evicted
// first.
const maxPrefixes = 4096

// prefixTable records which endpoint last received a call with a prefix. It is
// a hint: a wrong entry costs latency, never correctness.
type prefixTable struct {
	endpointOf     map[uint64]int
	insertionOrder [maxPrefixes]uint64
	next           int
}

func newPrefixTable() *prefixTable { return &prefixTable{endpointOf: make(map[uint64]int)} }

func (c *prefixTable) put(prefix uint64, endpoint int) {
	if _, ok := c.endpointOf[prefix]; !ok {
		delete(c.endpointOf, c.insertionOrder[c.next])
		c.insertionOrder[c.next] = prefix
		c.next = (c.next + 1) % maxPrefixes
	}
	c.endpointOf[prefix] = endpoint
}

func (c *prefixTable) get(prefix uint64) int {
	if prefix == 0 {
		return None
	}
	if i, ok := c.endpointOf[prefix]; ok {
		return i
	}
	return None
}

func (c *prefixTable) removeEndpoint(endpoint int) {
	for prefix, i := range c.endpointOf {
		if i == endpoint {
			delete(c.endpointOf, prefix)
		}
	}
}
