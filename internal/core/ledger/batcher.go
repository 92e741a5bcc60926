package ledger

import (
	"slices"
	"time"
)

const (
	// maxBatch bounds the records of one transaction.
	maxBatch = 64
	// maxSends bounds how often a start is sent before its caller is told
	// that the store is away.
	maxSends = 3
	// maxRepairs bounds the abandoned marks that wait for the store; further
	// ones are dropped, which costs their callers a repeat, never safety.
	maxRepairs     = 4096
	repairInterval = time.Second
	// maxKnown bounds the index of records seen.
	maxKnown = 8192
)

// item is one record on its way.
type item struct {
	id      uint64
	put     Put
	sends   int
	own     bool // of this node
	repair  bool // marks a record abandoned; nobody waits for it
	ready   bool // the row was read and the repair may be written
	inDoubt bool // a send may take effect yet
}

// Batcher gathers records. It is not safe for concurrent use.
type Batcher struct {
	gap       time.Duration
	notBefore time.Time
	// nextRepair is when repairs are due; they go before starts then, so that
	// a steady stream of starts cannot hold them up.
	nextRepair time.Time
	pending    []*item
	repairs    []*item
	busy       []*item
	// known holds the tokens of records that this book stored.
	known map[string]string
}

// New returns an empty book.
func New() *Batcher { return &Batcher{known: make(map[string]string)} }

// PendingStarts returns the number of starts that wait for an answer.
func (b *Batcher) PendingStarts() int { return len(b.pending) + len(b.busy) }

// PendingRepairs returns the keys of the abandoned marks that the store has not
// confirmed, those of the Read or Write under way among them.
func (b *Batcher) PendingRepairs() []string {
	var keys []string
	for _, it := range slices.Concat(b.repairs, b.busy) {
		if it.repair {
			keys = append(keys, it.put.Key)
		}
	}
	return keys
}

// SetWriteInterval sets the least time between two transactions, which keeps all nodes
// together within the store's budget of writes.
func (b *Batcher) SetWriteInterval(d time.Duration) { b.gap = d }

// NextTick returns when Tick is next needed; false means that nothing waits for
// the time.
func (b *Batcher) NextTick() (time.Time, bool) {
	switch {
	case b.busy != nil:
		return time.Time{}, false
	case len(b.repairs) > 0 && (len(b.pending) == 0 || b.nextRepair.Before(b.notBefore)):
		return b.nextRepair, true
	}
	return b.notBefore, len(b.pending) > 0
}

// Start asks to store a record of this node. A key that this node holds is
// answered from memory.
func (b *Batcher) Start(now time.Time, id uint64, key, token string) []Action {
	if holder, ok := b.known[key]; ok && holder != token {
		return []Action{Answer{ID: id, Result: Duplicate}}
	}
	return b.start(now, &item{id: id, own: true, put: Put{Key: key, Record: Record{Token: token, Expires: now.Add(RecordTTL)}}})
}

// StartForwarded asks to store a record of another node.
func (b *Batcher) StartForwarded(now time.Time, id uint64, key, token string) []Action {
	return b.start(now, &item{id: id, put: Put{Key: key, Record: Record{Token: token, Expires: now.Add(RecordTTL)}}})
}

func (b *Batcher) start(now time.Time, it *item) []Action {
	b.pending = append(b.pending, it)
	return b.pump(now)
}

// Abandon marks a record as not run.
func (b *Batcher) Abandon(now time.Time, key, token string) []Action {
	delete(b.known, key)
	b.repair(now, key, token)
	return b.pump(now)
}

// Tick tries repairs again when they are due, else sends what waited for the
// gap. The shell calls it at Next.
func (b *Batcher) Tick(now time.Time) []Action {
	if b.busy != nil {
		return nil
	}
	if len(b.repairs) == 0 || now.Before(b.nextRepair) {
		return b.pump(now)
	}
	b.nextRepair = now.Add(repairInterval)
	n := min(len(b.repairs), maxBatch)
	b.busy = b.repairs[:n:n]
	b.repairs = b.repairs[n:]
	return []Action{readOf(b.busy)}
}

func (b *Batcher) repair(now time.Time, key, token string) {
	if len(b.repairs) >= maxRepairs {
		return
	}
	b.repairs = append(b.repairs, &item{
		repair: true,
		put:    Put{Key: key, Record: Record{Token: token, Abandoned: true, Expires: now.Add(RecordTTL)}},
	})
}

// pump sends the next batch when none is under way: at once when the table is
// idle, gathered otherwise.
func (b *Batcher) pump(now time.Time) []Action {
	if b.busy != nil || len(b.pending) == 0 || now.Before(b.notBefore) {
		return nil
	}
	b.notBefore = now.Add(b.gap)
	keys := make(map[string]bool)
	var rest []*item
	for _, it := range b.pending {
		if len(b.busy) == maxBatch || keys[it.put.Key] {
			rest = append(rest, it)
			continue
		}
		keys[it.put.Key] = true
		b.busy = append(b.busy, it)
	}
	b.pending = rest
	return []Action{writeOf(b.busy)}
}

func writeOf(items []*item) Write {
	w := Write{Puts: make([]Put, len(items))}
	for i, it := range items {
		it.sends++
		w.Puts[i] = it.put
	}
	return w
}

func readOf(items []*item) Read {
	r := Read{Keys: make([]string, len(items))}
	for i, it := range items {
		r.Keys[i] = it.put.Key
	}
	return r
}

// WriteDone tells the end of the Write under way.
func (b *Batcher) WriteDone(now time.Time, res WriteResult) []Action {
	items := b.busy
	var out []Action
	switch res.Kind {
	case WriteOK:
		b.busy = nil
		for _, it := range items {
			out = b.stored(out, it)
		}
	case WriteConflict:
		b.busy = nil
		out = b.judgeConflicts(now, items, res.Rows)
	case WriteRefused:
		b.busy = nil
		for _, it := range items {
			out = b.giveUp(now, out, it)
		}
	case WriteUnknown:
		for _, it := range items {
			it.inDoubt = true
		}
		return []Action{readOf(items)}
	}
	return append(out, b.pump(now)...)
}

// ReadDone tells the rows of the Read under way; ok is false when the table
// did not answer.
func (b *Batcher) ReadDone(now time.Time, rows []Row, ok bool) []Action {
	items := b.busy
	b.busy = nil
	var out []Action
	for i, it := range items {
		if !ok {
			out = b.giveUp(now, out, it)
			continue
		}
		out = b.judge(now, out, it, rows[i])
	}
	if repairs := b.readyRepairs(items); len(repairs) > 0 && b.busy == nil {
		b.busy = repairs
		return append(out, writeOf(repairs))
	}
	return append(out, b.pump(now)...)
}

// readyRepairs takes the repairs out of items whose row is known by now.
func (b *Batcher) readyRepairs(items []*item) []*item {
	var ready []*item
	for _, it := range items {
		if it.repair && it.ready {
			it.ready = false
			ready = append(ready, it)
		}
	}
	return ready
}

func (b *Batcher) judgeConflicts(now time.Time, items []*item, rows []Row) []Action {
	byKey := make(map[string]Row, len(rows))
	for _, r := range rows {
		byKey[r.Key] = r
	}
	var out []Action
	for _, it := range items {
		row, conflicted := byKey[it.put.Key]
		switch {
		case conflicted && it.repair:
			b.repairs = append(b.repairs, it)
		case conflicted:
			out = b.judge(now, out, it, row)
		case it.repair:
			b.repairs = append(b.repairs, it)
		default:
			it.sends--
			b.pending = append(b.pending, it)
		}
	}
	return out
}

// judge decides by the row what became of an item.
func (b *Batcher) judge(now time.Time, out []Action, it *item, row Row) []Action {
	if it.repair {
		b.judgeRepair(it, row)
		return out
	}
	switch {
	case row.Version == 0:
		if it.sends >= maxSends {
			return b.giveUp(now, out, it)
		}
		it.put.IfVersion = 0
		b.pending = append(b.pending, it)
		return out
	case row.Record.Token == it.put.Record.Token && !row.Record.Abandoned:
		return b.stored(out, it)
	case row.Record.Abandoned || now.After(row.Record.Expires):
		it.put.IfVersion = row.Version
		b.pending = append(b.pending, it)
		return out
	}
	// Another node's record is not remembered: that node may abandon it.
	return append(out, Answer{ID: it.id, Result: Duplicate})
}

// judgeRepair keeps a repair only while the row is absent or still holds the
// token: an absent row may be written yet by a send whose answer was lost, and
// an abandoned row in its place stops that.
func (b *Batcher) judgeRepair(it *item, row Row) {
	if row.Version > 0 && (row.Record.Token != it.put.Record.Token || row.Record.Abandoned) {
		return
	}
	it.put.IfVersion = row.Version
	it.ready = true
}

func (b *Batcher) stored(out []Action, it *item) []Action {
	if it.repair {
		return out
	}
	if it.own {
		b.remember(it.put.Key, it.put.Record.Token)
	}
	return append(out, Answer{ID: it.id, Result: Stored})
}

// giveUp tells the caller that the store is away. A start that was sent may
// take effect yet, so a repair follows it.
func (b *Batcher) giveUp(now time.Time, out []Action, it *item) []Action {
	if it.repair {
		b.repairs = append(b.repairs, it)
		return out
	}
	if it.inDoubt {
		b.repair(now, it.put.Key, it.put.Record.Token)
	}
	return append(out, Answer{ID: it.id, Result: Unavailable})
}

// remember keeps the index bounded by dropping any entry; the index only
// saves writes.
func (b *Batcher) remember(key, token string) {
	if len(b.known) >= maxKnown {
		for k := range b.known {
			delete(b.known, k)
			break
		}
	}
	b.known[key] = token
}
