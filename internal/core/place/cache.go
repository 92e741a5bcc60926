package place

import "github.com/hashicorp/golang-lru/v2/simplelru"

// Part is a part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// mostCachedParts bounds the entries of one cache, some 100 bytes each. Engines of
// today told of 40 to 292 parts.
const mostCachedParts = 1024

// promptCache is what an endpoint is believed to hold of prompts: the parts of
// the calls that were sent there, as far as its memory goes, those unused
// longest given up first. It is a belief only; a wrong entry costs time.
type promptCache struct {
	parts  *simplelru.LRU[uint64, int]
	tokens int
	limit  int
}

// newPromptCache returns the empty cache of an endpoint with memory for limit
// tokens, or nil, which holds nothing, if it has none.
func newPromptCache(limit int) *promptCache {
	if limit <= 0 {
		return nil
	}
	c := &promptCache{limit: limit}
	parts, err := simplelru.NewLRU(mostCachedParts, func(_ uint64, tokens int) { c.tokens -= tokens })
	if err != nil {
		// Only a size of 0 is refused.
		panic(err)
	}
	c.parts = parts
	return c
}

func (c *promptCache) resize(limit int) {
	if c == nil || limit <= 0 {
		return
	}
	c.limit = limit
	c.shrink()
}

func (c *promptCache) clear() {
	if c != nil {
		c.parts.Purge()
	}
}

// held is how many tokens at the beginning of a prompt need not be read: a part
// is reused only together with all parts before it.
func (c *promptCache) held(parts []Part) int {
	if c == nil {
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

// use takes a prompt in that the endpoint reads now.
func (c *promptCache) use(parts []Part) {
	if c == nil {
		return
	}
	for _, part := range parts {
		if _, ok := c.parts.Get(part.ID); ok {
			continue
		}
		c.parts.Add(part.ID, part.Tokens)
		c.tokens += part.Tokens
	}
	c.shrink()
}

func (c *promptCache) shrink() {
	for c.tokens > c.limit {
		if _, _, ok := c.parts.RemoveOldest(); !ok {
			return
		}
	}
}
