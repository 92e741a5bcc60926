package place

const (
	// minSamples is how many prompts of a kind are seen before their parts
	// are judged; until then the last shared part is the key.
	minSamples = 8
	// maxPartsPerPosition bounds the parts that are counted at one position; beyond it
	// the counts start anew.
	maxPartsPerPosition = 1024
)

// KeySelector learns how widely the parts of prompts are shared, and picks the
// part by which a prompt is placed. A part of which one endpoint can carry all
// calls is read once in the whole system when its calls meet there; one that
// a large share of the calls begins with would overload its endpoint, so the
// next part decides. It is not safe for concurrent use.
type KeySelector struct {
	kinds map[string]*kindStats
	total int
}

// kindStats counts the prompts of one kind of request.
type kindStats struct {
	prompts   int
	positions []partCounts
}

// partCounts counts the parts at one position of the prompts.
type partCounts struct {
	counts  map[uint64]int
	samples int
	// pairs is the number of pairs of prompts that have the same part.
	pairs int
}

// NewKeySelector returns counts that know nothing yet.
func NewKeySelector() *KeySelector { return &KeySelector{kinds: make(map[string]*kindStats)} }

// Key takes a prompt of a kind of request in, and returns the part by which
// it is placed among a number of endpoints, or 0 for a prompt without shared
// parts. Parts are in order; the last one belongs to the request itself.
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

// fits reports whether the usual part at this position has no more calls than
// one of the endpoints carries on average. The chance that two prompts have
// the same part is the share that such a part has of its kind's calls; it is
// known after few samples, since their pairs grow with the square.
func (c *partCounts) fits(kindShare float64, endpoints int) bool {
	if c.samples < minSamples {
		return false
	}
	pairs := float64(c.samples) * float64(c.samples-1) / 2
	return kindShare*float64(c.pairs)/pairs*float64(endpoints) <= 1
}
