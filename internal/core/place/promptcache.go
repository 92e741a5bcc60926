package place

import "github.com/hashicorp/golang-lru/v2/simplelru"

// Part is a part of a prompt.
type Part struct {
	ID     uint64
	Tokens int
}

// maxCachedParts bounds the entries of one cache, some 100 bytes each. Engines of
// today told of 40 to 292 parts.
const maxCachedParts = 1024

// promptCache is what an endpoint is believed to hold of prompts: the parts of
// the calls that were sent there, as far as its memory goes, those unused
// longest given up first. It is a belief only; a wrong entry costs time.
type promptCache struct {
	parts     *simplelru.LRU[uint64, int]
	tokens    int
	maxTokens int
}

// newPromptCache returns the empty cache of an endpoint with memory for limit
// tokens, or nil, which holds nothing, if it has none.
func newPromptCache(limit int) *promptCache {
	if limit <= 0 {
		return nil
	}
	c := &promptCache{maxTokens: limit}
	parts, err := simplelru.NewLRU(maxCachedParts, func(_ uint64, tokens int) { c.tokens -= tokens })
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
	c.maxTokens = limit
	c.evict()
}

func (c *promptCache) clear() {
	if c != nil {
		c.parts.Purge()
	}
}

// prefixTokens is how many tokens at the beginning of a prompt need not be read: a part
// is reused only together with all parts before it.
func (c *promptCache) prefixTokens(parts []Part) int {
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

// add takes a prompt in that the endpoint reads now.
func (c *promptCache) add(parts []Part) {
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
	c.evict()
}

func (c *promptCache) evict() {
	for c.tokens > c.maxTokens {
		if _, _, ok := c.parts.RemoveOldest(); !ok {
			return
		}
	}
}
