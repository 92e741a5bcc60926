package ledger

import (
	"slices"
	"time"
)

const (
	// maxBatch bounds the records of one transaction.
	maxBatch = 64
	// maxSends bounds how often a start is sent before it fails as
	// Unavailable.
	maxSends = 3
	// maxRepairs bounds the pending abandoned marks. Further ones are dropped,
	// in which case the client's retry is refused; safety isn't affected.
	maxRepairs     = 4096
	repairInterval = time.Second
	// maxStoredTokens bounds the index of stored records.
	maxStoredTokens = 8192
)

// entry is one record to be written.
type entry struct {
	id      uint64
	put     Put
	sends   int
	local   bool // requested by this node
	repair  bool // marks a record abandoned; has no caller to answer
	ready   bool // the row was read, so the repair can be written
	inDoubt bool // an earlier send may still take effect
}

// Batcher groups records into transactions. It is not safe for concurrent use.
type Batcher struct {
	writeInterval time.Duration
	notBefore     time.Time
	// nextRepair is when repairs are due. They take precedence over starts
	// then, so that a steady stream of starts can't starve them.
	nextRepair time.Time
	pending    []*entry
	repairs    []*entry
	inFlight   []*entry
	// storedTokens maps the keys of records that this node stored to their tokens.
	storedTokens map[string]string
}

// New returns an empty Batcher.
func New() *Batcher { return &Batcher{storedTokens: make(map[string]string)} }

// PendingStarts returns the number of unanswered starts.
func (b *Batcher) PendingStarts() int { return len(b.pending) + len(b.inFlight) }

// PendingRepairs returns the keys of the abandoned marks that the store has not
// confirmed, including those of the Read or Write in flight.
func (b *Batcher) PendingRepairs() []string {
	var keys []string
	for _, e := range slices.Concat(b.repairs, b.inFlight) {
		if e.repair {
			keys = append(keys, e.put.Key)
		}
	}
	return keys
}

// SetWriteInterval sets the minimum time between two transactions, which keeps all
// nodes together within the store's write budget.
func (b *Batcher) SetWriteInterval(d time.Duration) { b.writeInterval = d }

// NextTick returns when Tick must next be called; false means that no call is
// needed.
func (b *Batcher) NextTick() (time.Time, bool) {
	switch {
	case b.inFlight != nil:
		return time.Time{}, false
	case len(b.repairs) > 0 && (len(b.pending) == 0 || b.nextRepair.Before(b.notBefore)):
		return b.nextRepair, true
	}
	return b.notBefore, len(b.pending) > 0
}

// Start requests that a record of this node be stored. A key whose record this
// node stored is answered from memory.
func (b *Batcher) Start(now time.Time, id uint64, key, token string) []Action {
	if holder, ok := b.storedTokens[key]; ok && holder != token {
		return []Action{Answer{ID: id, Result: Duplicate}}
	}
	return b.enqueue(now, &entry{id: id, local: true, put: Put{Key: key, Record: Record{Token: token, Expires: now.Add(RecordTTL)}}})
}

// StartForwarded requests that a record of another node be stored.
func (b *Batcher) StartForwarded(now time.Time, id uint64, key, token string) []Action {
	return b.enqueue(now, &entry{id: id, put: Put{Key: key, Record: Record{Token: token, Expires: now.Add(RecordTTL)}}})
}

func (b *Batcher) enqueue(now time.Time, e *entry) []Action {
	b.pending = append(b.pending, e)
	return b.pump(now)
}

// Abandon marks a record as not run.
func (b *Batcher) Abandon(now time.Time, key, token string) []Action {
	delete(b.storedTokens, key)
	b.addRepair(now, key, token)
	return b.pump(now)
}

// Tick retries repairs that are due, or else sends the starts that waited for
// the write interval. It must be called at the time that NextTick returns.
func (b *Batcher) Tick(now time.Time) []Action {
	if b.inFlight != nil {
		return nil
	}
	if len(b.repairs) == 0 || now.Before(b.nextRepair) {
		return b.pump(now)
	}
	b.nextRepair = now.Add(repairInterval)
	n := min(len(b.repairs), maxBatch)
	b.inFlight = b.repairs[:n:n]
	b.repairs = b.repairs[n:]
	return []Action{newRead(b.inFlight)}
}

func (b *Batcher) addRepair(now time.Time, key, token string) {
	if len(b.repairs) >= maxRepairs {
		return
	}
	b.repairs = append(b.repairs, &entry{
		repair: true,
		put:    Put{Key: key, Record: Record{Token: token, Abandoned: true, Expires: now.Add(RecordTTL)}},
	})
}

// pump sends the next batch unless one is in flight or the write interval has
// not passed, during which starts accumulate.
func (b *Batcher) pump(now time.Time) []Action {
	if b.inFlight != nil || len(b.pending) == 0 || now.Before(b.notBefore) {
		return nil
	}
	b.notBefore = now.Add(b.writeInterval)
	keys := make(map[string]bool)
	var rest []*entry
	for _, e := range b.pending {
		if len(b.inFlight) == maxBatch || keys[e.put.Key] {
			rest = append(rest, e)
			continue
		}
		keys[e.put.Key] = true
		b.inFlight = append(b.inFlight, e)
	}
	b.pending = rest
	return []Action{newWrite(b.inFlight)}
}

func newWrite(entries []*entry) Write {
	w := Write{Puts: make([]Put, len(entries))}
	for i, e := range entries {
		e.sends++
		w.Puts[i] = e.put
	}
	return w
}

func newRead(entries []*entry) Read {
	r := Read{Keys: make([]string, len(entries))}
	for i, e := range entries {
		r.Keys[i] = e.put.Key
	}
	return r
}

// WriteDone passes in the result of the Write in flight.
func (b *Batcher) WriteDone(now time.Time, res WriteResult) []Action {
	entries := b.inFlight
	var out []Action
	switch res.Kind {
	case WriteOK:
		b.inFlight = nil
		for _, e := range entries {
			out = b.complete(out, e)
		}
	case WriteConflict:
		b.inFlight = nil
		out = b.resolveConflicts(now, entries, res.Rows)
	case WriteRefused:
		b.inFlight = nil
		for _, e := range entries {
			out = b.fail(now, out, e)
		}
	case WriteUnknown:
		for _, e := range entries {
			e.inDoubt = true
		}
		return []Action{newRead(entries)}
	}
	return append(out, b.pump(now)...)
}

// ReadDone passes in the rows of the Read in flight; ok is false if the table did
// not answer.
func (b *Batcher) ReadDone(now time.Time, rows []Row, ok bool) []Action {
	entries := b.inFlight
	b.inFlight = nil
	var out []Action
	for i, e := range entries {
		if !ok {
			out = b.fail(now, out, e)
			continue
		}
		out = b.resolve(now, out, e, rows[i])
	}
	if repairs := b.takeReadyRepairs(entries); len(repairs) > 0 && b.inFlight == nil {
		b.inFlight = repairs
		return append(out, newWrite(repairs))
	}
	return append(out, b.pump(now)...)
}

// takeReadyRepairs returns the repairs among entries whose row has been read.
func (b *Batcher) takeReadyRepairs(entries []*entry) []*entry {
	var ready []*entry
	for _, e := range entries {
		if e.repair && e.ready {
			e.ready = false
			ready = append(ready, e)
		}
	}
	return ready
}

func (b *Batcher) resolveConflicts(now time.Time, entries []*entry, rows []Row) []Action {
	byKey := make(map[string]Row, len(rows))
	for _, r := range rows {
		byKey[r.Key] = r
	}
	var out []Action
	for _, e := range entries {
		row, conflicted := byKey[e.put.Key]
		switch {
		case conflicted && e.repair:
			b.repairs = append(b.repairs, e)
		case conflicted:
			out = b.resolve(now, out, e, row)
		case e.repair:
			b.repairs = append(b.repairs, e)
		default:
			e.sends--
			b.pending = append(b.pending, e)
		}
	}
	return out
}

// resolve decides from its row what happens to an entry.
func (b *Batcher) resolve(now time.Time, out []Action, e *entry, row Row) []Action {
	if e.repair {
		b.resolveRepair(e, row)
		return out
	}
	switch {
	case row.Version == 0:
		if e.sends >= maxSends {
			return b.fail(now, out, e)
		}
		e.put.IfVersion = 0
		b.pending = append(b.pending, e)
		return out
	case row.Record.Token == e.put.Record.Token && !row.Record.Abandoned:
		return b.complete(out, e)
	case row.Record.Abandoned || now.After(row.Record.Expires):
		e.put.IfVersion = row.Version
		b.pending = append(b.pending, e)
		return out
	}
	// A record of another node is not cached, since that node may abandon it.
	return append(out, Answer{ID: e.id, Result: Duplicate})
}

// resolveRepair keeps a repair only if the row is absent or still holds the token.
// An absent row may still be written by a send whose answer was lost; an
// abandoned row in its place prevents that.
func (b *Batcher) resolveRepair(e *entry, row Row) {
	if row.Version > 0 && (row.Record.Token != e.put.Record.Token || row.Record.Abandoned) {
		return
	}
	e.put.IfVersion = row.Version
	e.ready = true
}

func (b *Batcher) complete(out []Action, e *entry) []Action {
	if e.repair {
		return out
	}
	if e.local {
		b.remember(e.put.Key, e.put.Record.Token)
	}
	return append(out, Answer{ID: e.id, Result: Stored})
}

// fail answers that the store is unavailable. A start in doubt may still take effect,
// so a repair is added for it.
func (b *Batcher) fail(now time.Time, out []Action, e *entry) []Action {
	if e.repair {
		b.repairs = append(b.repairs, e)
		return out
	}
	if e.inDoubt {
		b.addRepair(now, e.put.Key, e.put.Record.Token)
	}
	return append(out, Answer{ID: e.id, Result: Unavailable})
}

// remember adds to the index of stored tokens. A full index drops an arbitrary
// entry, since it only saves writes.
func (b *Batcher) remember(key, token string) {
	if len(b.storedTokens) >= maxStoredTokens {
		for k := range b.storedTokens {
			delete(b.storedTokens, k)
			break
		}
	}
	b.storedTokens[key] = token
}
