package origin

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

const (
	// StoredTTL is for how long what is written to the platform's store counts: records of streams, and versions that have left.
	StoredTTL = 30 * time.Second
	// SlotTime is the time between two batches of one process, and slots the number of batches after which the first one is
	// replaced. They cover the time that most clients wait.
	SlotTime = 200 * time.Millisecond
	slots    = 120
	// maxBatch bounds the records in a batch, to some 45 kB. maxPending bounds those that wait, and those that are kept in case
	// that a second version comes.
	maxBatch   = 2000
	maxPending = 8 << 10
)

// Journal collects the records of streams that are to outlast all nodes, and the batches in which they are written to the platform's
// store. It is not safe for concurrent use.
type Journal struct {
	// began holds the records of streams that began at this node, the oldest first.
	began []begun
	// pending are the records that are not written yet, and written those of the slot that was written last.
	pending, written []Record
	slot             int64
}

type begun struct {
	record Record
	at     time.Time
}

// Began adds the record of a stream that began at this node.
func (j *Journal) Began(now time.Time, r Record) {
	j.began = append(j.dropOld(now), begun{r, now})
	j.began = j.began[max(len(j.began)-maxPending, 0):]
}

func (j *Journal) dropOld(now time.Time) []begun {
	old := 0
	for old < len(j.began) && now.Sub(j.began[old].at) > StoredTTL {
		old++
	}
	return j.began[old:]
}

// BeganAt returns the records of a service's streams that began at this node within StoredTTL.
func (j *Journal) BeganAt(now time.Time, service string) []Record {
	var list []Record
	for _, b := range j.dropOld(now) {
		if b.record.Origin.Service == service {
			list = append(list, b.record)
		}
	}
	return list
}

// Add adds records that are to be written. If there are too many, the oldest are dropped.
func (j *Journal) Add(records ...Record) {
	j.pending = append(j.pending, records...)
	j.pending = j.pending[max(len(j.pending)-maxPending, 0):]
}

// Pending returns the number of records that are not written yet.
func (j *Journal) Pending() int { return len(j.pending) }

// Next returns the batch to write by the store's clock, or none. A batch of the same slot as the one before replaces it and has
// its records too.
func (j *Journal) Next(clock time.Duration) (slot int64, batch []Record) {
	slot = int64(clock / SlotTime)
	if len(j.pending) == 0 {
		return slot, nil
	}
	if slot == j.slot {
		batch = slices.Clone(j.written)
	}
	return slot, append(batch, j.pending[:min(len(j.pending), max(maxBatch-len(batch), 0))]...)
}

// Written records that a batch of Next was written.
func (j *Journal) Written(slot int64, batch []Record) {
	fresh := len(batch)
	if slot == j.slot {
		fresh -= len(j.written)
	}
	j.pending = slices.Delete(j.pending, 0, min(fresh, len(j.pending)))
	j.slot, j.written = slot, batch
}

// SlotKey returns the name of a slot, which is used again after some time.
func SlotKey(slot int64) string { return fmt.Sprintf("%03d", slot%slots) }

// batchBody is a batch as it is written.
type batchBody struct {
	Streams []batchGroup `json:"streams"`
}

// batchGroup are the streams of one origin. Keys holds their keys one after the other.
type batchGroup struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Keys    []byte `json:"keys"`
}

// EncodeBatch encodes records. Ambiguous ones are left out.
func EncodeBatch(records []Record) ([]byte, error) {
	var body batchBody
	for _, r := range records {
		if r.Ambiguous {
			continue
		}
		i := slices.IndexFunc(body.Streams, func(g batchGroup) bool { return g.Service == r.Origin.Service && g.Version == r.Origin.Version })
		if i < 0 {
			i = len(body.Streams)
			body.Streams = append(body.Streams, batchGroup{Service: r.Origin.Service, Version: r.Origin.Version})
		}
		body.Streams[i].Keys = append(body.Streams[i].Keys, r.Key[:]...)
	}
	return json.Marshal(body)
}

// errBatch is the error of a batch that can't be decoded.
var errBatch = errors.New("invalid batch of stream origins")

// DecodeBatch decodes a batch. Its records have StoredTTL.
func DecodeBatch(data []byte) ([]Record, error) {
	var body batchBody
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, fmt.Errorf("%w: %w", errBatch, err)
	}
	var records []Record
	for _, g := range body.Streams {
		if len(g.Keys)%len(Key{}) != 0 || g.Service == "" {
			return nil, fmt.Errorf("%w: %d bytes of keys", errBatch, len(g.Keys))
		}
		for key := range slices.Chunk(g.Keys, len(Key{})) {
			records = append(records, Record{Key: Key(key), Origin: Origin{Service: g.Service, Version: g.Version}, TTL: StoredTTL})
		}
	}
	return records, nil
}
