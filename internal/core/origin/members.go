package origin

import (
	"encoding/binary"
	"slices"

	"gradetiller.example/internal/core/hash"
)

const (
	// ownerCount is the number of nodes, beside the one at which a stream begins, that hold its record for
	// the sake of one of its keys. A stream has two keys, so that four of its five nodes may be lost.
	ownerCount = 2
	// searchRounds is the number of times that a search asks ownerCount nodes for each key. The second
	// round reaches owners that the other nodes' knowledge of the members ranks differently.
	searchRounds = 2
)

// Node is one incarnation of a node.
type Node struct {
	Name        string
	Incarnation uint64
}

// Members is the set of nodes among which owners are chosen. It is immutable.
type Members struct {
	nodes  []Node
	hashes []uint64
}

// MembersOf returns the set of the given nodes.
func MembersOf(nodes []Node) Members {
	m := Members{nodes: slices.Clone(nodes), hashes: make([]uint64, len(nodes))}
	for i, n := range nodes {
		m.hashes[i] = hash.Of(n.Name)
	}
	return m
}

func (m Members) sameAs(other Members) bool { return slices.Equal(m.nodes, other.nodes) }

// Owners returns the names of the nodes, other than self, that hold the records of a stream with the given
// keys. Nodes that know the same members return the same ones, except for themselves.
func (m Members) Owners(self string, keys ...Key) []string {
	var list []Node
	for _, key := range keys {
		list = appendNew(list, m.owners(key, self)...)
	}
	return namesOf(list)
}

func (m Members) owners(key Key, self string) []Node { return m.ranked(key, self, ownerCount) }

// ranked returns up to count nodes other than self in rendezvous order.
func (m Members) ranked(key Key, self string, count int) []Node {
	seed := binary.LittleEndian.Uint64(key[:])
	best := make([]int, 0, count+1)
	weight := func(i int) uint64 { return hash.Pair(seed, m.hashes[i]) }
	for i := range m.nodes {
		if m.nodes[i].Name == self {
			continue
		}
		at := len(best)
		for at > 0 && weight(best[at-1]) < weight(i) {
			at--
		}
		if at == count {
			continue
		}
		best = slices.Insert(best, at, i)
		best = best[:min(len(best), count)]
	}
	list := make([]Node, len(best))
	for k, i := range best {
		list[k] = m.nodes[i]
	}
	return list
}

// appendNew appends the nodes that the list does not contain.
func appendNew(list []Node, nodes ...Node) []Node {
	for _, n := range nodes {
		if !slices.Contains(list, n) {
			list = append(list, n)
		}
	}
	return list
}

func namesOf(nodes []Node) []string {
	names := make([]string, len(nodes))
	for i, n := range nodes {
		names[i] = n.Name
	}
	return names
}

// keeperCount is the number of nodes that write records to the platform's store on behalf of all others. With few writers, the
// number of writes does not grow with the number of nodes.
const keeperCount = 4

// keeperKey is the key by which the keepers are chosen.
var keeperKey = KeyOf("", "keepers of stream origins")

// Keeper returns the name of the node that writes the record of a stream to the platform's store, or "" if there are no members.
// Nodes that know the same members return the same one.
func (m Members) Keeper(key Key) string {
	keepers := m.ranked(keeperKey, "", keeperCount)
	if len(keepers) == 0 {
		return ""
	}
	return keepers[binary.LittleEndian.Uint64(key[8:])%uint64(len(keepers))].Name
}
