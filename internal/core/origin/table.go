package origin

import (
	"container/list"
	"crypto/sha256"
	"errors"
	"slices"
	"time"
)

// Key identifies a stream, or streams of the same content. It is a hash that includes the client account,
// so that no client finds the streams of another account.
type Key [16]byte

// KeyOf returns the key of the stream whose first event a client's attempt brought.
func KeyOf(account, requestID string) Key { return keyOf("request", account, requestID) }

// ContentKeyOf returns the key of the streams of a request's content. A client that returns without naming
// its first attempt is known by it.
func ContentKeyOf(account string, content []byte) Key {
	return keyOf("content", account, string(content))
}

func keyOf(kind, account, value string) Key {
	sum := sha256.Sum256([]byte(kind + "\x00" + account + "\x00" + value))
	return Key(sum[:len(Key{})])
}

// errKeySize is the error of ParseKey.
var errKeySize = errors.New("the key of a stream has another size")

// ParseKey returns the key with the given bytes.
func ParseKey(data []byte) (Key, error) {
	if len(data) != len(Key{}) {
		return Key{}, errKeySize
	}
	return Key(data), nil
}

// Origin is where a stream began.
type Origin struct {
	Service string
	// Version is the software version of the endpoint that sent the first event. It is "" if the
	// endpoint states none; such endpoints are taken to be of one version.
	Version string
}

// Record is the origin of one stream.
type Record struct {
	Key    Key
	Origin Origin
	// TTL is for how much longer the client may return.
	TTL time.Duration
	// Ambiguous is true if streams of the same key began at different origins.
	Ambiguous bool
}

// MaxTTL bounds the TTL of records, which clients choose by their timeouts.
const MaxTTL = 5 * time.Minute

// sweepInterval is the time between two removals of expired records.
const sweepInterval = time.Second

// Table holds records until they expire. If it is full, the oldest one is dropped. It is not safe for
// concurrent use.
type Table struct {
	capacity int
	byKey    map[Key]*list.Element
	// oldest lists the records from the oldest to the newest.
	oldest  list.List
	sweptAt time.Time
	// dropped is the number of records that were dropped before they expired.
	dropped uint64
}

type entry struct {
	record    Record
	expiresAt time.Time
}

// NewTable returns an empty table for up to capacity records.
func NewTable(capacity int) *Table {
	return &Table{capacity: capacity, byKey: make(map[Key]*list.Element)}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.byKey) }

// Dropped returns how many records were dropped before they expired.
func (t *Table) Dropped() uint64 { return t.dropped }

// Put adds a record, or extends the TTL of one that is known. Records of the same key with different
// origins become ambiguous.
func (t *Table) Put(now time.Time, r Record) {
	t.sweep(now)
	r.TTL = min(r.TTL, MaxTTL)
	if r.TTL <= 0 {
		return
	}
	expiresAt := now.Add(r.TTL)
	if e, ok := t.byKey[r.Key]; ok {
		known := e.Value.(*entry)
		known.record.Ambiguous = known.record.Ambiguous || r.Ambiguous || known.record.Origin != r.Origin
		if expiresAt.After(known.expiresAt) {
			known.expiresAt = expiresAt
		}
		return
	}
	for len(t.byKey) >= max(t.capacity, 1) {
		t.remove(t.oldest.Front())
		t.dropped++
	}
	t.byKey[r.Key] = t.oldest.PushBack(&entry{record: r, expiresAt: expiresAt})
}

// Get returns the record of a key, with the rest of its TTL.
func (t *Table) Get(now time.Time, key Key) (Record, bool) {
	e, ok := t.byKey[key]
	if !ok {
		return Record{}, false
	}
	return e.Value.(*entry).at(now)
}

// at returns the record with the rest of its TTL, unless it has expired.
func (e *entry) at(now time.Time) (Record, bool) {
	r := e.record
	r.TTL = e.expiresAt.Sub(now)
	return r, r.TTL > 0
}

// sweep removes the expired records, at most once per sweepInterval.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for e := t.oldest.Front(); e != nil; {
		next := e.Next()
		if _, ok := e.Value.(*entry).at(now); !ok {
			t.remove(e)
		}
		e = next
	}
}

func (t *Table) remove(e *list.Element) {
	t.oldest.Remove(e)
	delete(t.byKey, e.Value.(*entry).record.Key)
}

// CopiesFor returns, by node, the records of which nodes have become owners since an earlier set of
// members. A node that was restarted has lost its records and counts as new.
func (t *Table) CopiesFor(now time.Time, before, after Members, self string) map[string][]Record {
	t.sweep(now)
	copies := make(map[string][]Record)
	if before.sameAs(after) {
		return copies
	}
	for e := t.oldest.Front(); e != nil; e = e.Next() {
		r, ok := e.Value.(*entry).at(now)
		if !ok {
			continue
		}
		had := before.owners(r.Key, self)
		for _, owner := range after.owners(r.Key, self) {
			if !slices.Contains(had, owner) {
				copies[owner.Name] = append(copies[owner.Name], r)
			}
		}
	}
	return copies
}
