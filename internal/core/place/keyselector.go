package place

const (
	// minSamples is the number of samples needed at a position before its parts
	// are considered; until then the last shared part is the key.
	minSamples = 8
	// maxPartsPerPosition bounds the distinct parts counted at one position; at
	// the bound, the counts are reset.
	maxPartsPerPosition = 1024
)

// KeySelector selects the prompt part whose hash is used as the placement key,
// by how widely each part is shared. If one endpoint can serve all calls that
// share a part, placing them there prefills the part only once in the whole
// system. A part that a large fraction of the calls begins with would overload
// its endpoint, so the next part becomes the key. It is not safe for concurrent
// use.
type KeySelector struct {
	kinds map[string]*kindStats
	total int
}

// kindStats holds the counts for one kind of request.
type kindStats struct {
	prompts   int
	positions []partCounts
}

// partCounts holds the counts of the parts at one position of the prompts.
type partCounts struct {
	counts  map[uint64]int
	samples int
	// pairs is the number of pairs of prompts that share their part.
	pairs int
}

// NewKeySelector returns a KeySelector without samples.
func NewKeySelector() *KeySelector { return &KeySelector{kinds: make(map[string]*kindStats)} }

// Key records a prompt of the given kind of request and returns the part that is
// its placement key for the given number of endpoints, or 0 for a prompt without
// parts. Parts are in prompt order; the last of several is unique to the request.
func (s *KeySelector) Key(kind string, parts []uint64, endpoints int) uint64 {
	switch len(parts) {
	case 0:
		return 0
	case 1:
		return parts[0]
	}
	shared := parts[:len(parts)-1]
	k, ok := s.kinds[kind]
	if !ok {
		k = &kindStats{}
		s.kinds[kind] = k
	}
	s.total++
	k.prompts++
	for len(k.positions) < len(shared) {
		k.positions = append(k.positions, partCounts{counts: make(map[uint64]int)})
	}
	key := shared[len(shared)-1]
	found := false
	for i, part := range shared {
		c := &k.positions[i]
		c.add(part)
		if !found && c.fits(float64(k.prompts)/float64(s.total), endpoints) {
			key, found = part, true
		}
	}
	return key
}

func (c *partCounts) add(part uint64) {
	if len(c.counts) >= maxPartsPerPosition {
		c.counts = make(map[uint64]int)
		c.samples = 0
		c.pairs = 0
	}
	c.pairs += c.counts[part]
	c.counts[part]++
	c.samples++
}

// fits reports whether a typical part at this position has no more calls than
// an endpoint serves on average. The probability that two prompts share a part
// estimates the fraction of its kind's calls that such a part has. Few samples
// suffice, because the number of pairs grows with their square.
func (c *partCounts) fits(kindShare float64, endpoints int) bool {
	if c.samples < minSamples {
		return false
	}
	pairs := float64(c.samples) * float64(c.samples-1) / 2
	return kindShare*float64(c.pairs)/pairs*float64(endpoints) <= 1
}
