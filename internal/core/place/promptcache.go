package place

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Part is a contiguous section of a prompt that is cached as a unit.
type Part struct {
	ID     uint64
	Tokens int
}

// maxCachedParts bounds the entries of one cache, at about 100 bytes each. Engines
// report 40 to 292 parts.
const maxCachedParts = 1024

// promptCache estimates the contents of an endpoint's prompt cache: the parts of
// the calls sent there, with LRU eviction at the capacity of the endpoint. It is
// a hint: a wrong entry costs latency, never correctness.
type promptCache struct {
	parts     *simplelru.LRU[uint64, int]
	tokens    int
	maxTokens int
	// index records in the pool which endpoints have a part cached, and endpoint is the index of
	// this one.
	index    holderIndex
	endpoint int
}

// holderIndex maps parts to the endpoints that are believed to have them cached.
type holderIndex map[uint64][]int

func (h holderIndex) add(part uint64, endpoint int) { h[part] = append(h[part], endpoint) }

func (h holderIndex) remove(part uint64, endpoint int) {
	list := h[part]
	if k := slices.Index(list, endpoint); k >= 0 {
		list[k] = list[len(list)-1]
		list = list[:len(list)-1]
	}
	if len(list) == 0 {
		delete(h, part)
		return
	}
	h[part] = list
}

// newPromptCache returns an empty cache of an endpoint with a capacity of maxTokens. Without
// capacity it returns nil, which is a valid cache that is always empty.
func newPromptCache(maxTokens int, index holderIndex, endpoint int) *promptCache {
	if maxTokens <= 0 {
		return nil
	}
	return &promptCache{maxTokens: maxTokens, index: index, endpoint: endpoint}
}

// allocate allocates the list of parts, which most endpoints of a large service never need.
func (c *promptCache) allocate() {
	if c.parts != nil {
		return
	}
	parts, err := simplelru.NewLRU(maxCachedParts, func(part uint64, tokens int) {
		c.tokens -= tokens
		c.index.remove(part, c.endpoint)
	})
	if err != nil {
		// NewLRU fails only if the size is not positive.
		panic(err)
	}
	c.parts = parts
}

func (c *promptCache) resize(maxTokens int) {
	if c == nil || maxTokens <= 0 {
		return
	}
	c.maxTokens = maxTokens
	c.evict()
}

func (c *promptCache) clear() {
	if c != nil && c.parts != nil {
		c.parts.Purge()
	}
}

// prefixTokens returns the number of tokens at the beginning of a prompt that need
// no prefill. A cached part is usable only if all parts before it are cached too.
func (c *promptCache) prefixTokens(parts []Part) int {
	if c == nil || c.parts == nil {
		return 0
	}
	sum := 0
	for _, part := range parts {
		if !c.parts.Contains(part.ID) {
			break
		}
		sum += part.Tokens
	}
	return sum
}

// add records the parts of a prompt that is sent to the endpoint.
func (c *promptCache) add(parts []Part) {
	if c == nil || len(parts) == 0 {
		return
	}
	c.allocate()
	for _, part := range parts {
		if _, ok := c.parts.Get(part.ID); ok {
			continue
		}
		c.parts.Add(part.ID, part.Tokens)
		c.tokens += part.Tokens
		c.index.add(part.ID, c.endpoint)
	}
	c.evict()
}

func (c *promptCache) evict() {
	if c.parts == nil {
		return
	}
	for c.tokens > c.maxTokens {
		if _, _, ok := c.parts.RemoveOldest(); !ok {
			return
		}
	}
}
