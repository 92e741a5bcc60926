package place

// maxPrefixes bounds the memory of prefix affinity; the oldest entry goes
// first.
const maxPrefixes = 4096

// prefixes remembers which endpoint last took a call with a prefix. It is a
// belief only: a wrong entry costs time, never correctness.
type prefixes struct {
	where map[uint64]int
	ring  [maxPrefixes]uint64
	next  int
}

func newPrefixes() *prefixes { return &prefixes{where: make(map[uint64]int)} }

func (c *prefixes) put(prefix uint64, endpoint int) {
	if _, ok := c.where[prefix]; !ok {
		delete(c.where, c.ring[c.next])
		c.ring[c.next] = prefix
		c.next = (c.next + 1) % maxPrefixes
	}
	c.where[prefix] = endpoint
}

func (c *prefixes) get(prefix uint64) int {
	if prefix == 0 {
		return None
	}
	if i, ok := c.where[prefix]; ok {
		return i
	}
	return None
}

func (c *prefixes) forget(endpoint int) {
	for prefix, i := range c.where {
		if i == endpoint {
			delete(c.where, prefix)
		}
	}
}
