package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/internal/core/catalog"
	"gradetiller.example/internal/core/clamp"
	"gradetiller.example/internal/core/mechanism"
	"gradetiller.example/internal/core/origin"
	"gradetiller.example/internal/peer"
	"gradetiller.example/internal/wire"
)

const (
	// maxOrigins bounds the records of where streams began, of which each stream has two.
	maxOrigins = 32 << 10
	// originMargin is added to the time that the client waits, for its last attempt to arrive.
	originMargin = time.Second
	// originRoundDelay is how long owners may take to answer before further nodes are asked as well, and
	// originTimeout bounds the whole search: the client's other attempts need time, too.
	originRoundDelay = 30 * time.Millisecond
	originTimeout    = 90 * time.Millisecond
	// originCopyInterval is the minimum time between copies of records to new owners.
	originCopyInterval = 200 * time.Millisecond
	// maxOriginAnswers bounds the answers that wait for a search.
	maxOriginAnswers = 16
	// maxOriginsPerMessage bounds the records in a message, to some 5 kB.
	maxOriginsPerMessage = 64
)

// origins holds what this node knows of where streams began. It is safe for concurrent use.
type origins struct {
	mu      sync.Mutex
	table   *origin.Table
	history *origin.History
	// members are the nodes among which owners are chosen. copied are those as of copiedAt, when records
	// were last copied to new owners.
	members  origin.Members
	copied   origin.Members
	copiedAt time.Time
	// searches holds the searches in progress by the ID of their requests.
	searches map[uint64]chan<- originAnswer
	lastID   uint64
}

// originAnswer is the answer of one node.
type originAnswer struct {
	record origin.Record
	ok     bool
}

func newOrigins() *origins {
	return &origins{table: origin.NewTable(maxOrigins), history: origin.NewHistory(), searches: make(map[uint64]chan<- originAnswer)}
}

// setMembers adopts a new list of live nodes. Nodes that are stopping own nothing.
func (o *origins) setMembers(entries []wire.Entry) {
	nodes := make([]origin.Node, 0, len(entries))
	for _, e := range entries {
		if !e.Leaving {
			nodes = append(nodes, origin.Node{Name: e.Node, Incarnation: e.Incarnation})
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.members = origin.MembersOf(nodes)
}

// put adds records and returns the present members.
func (o *origins) put(now time.Time, records ...origin.Record) origin.Members {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range records {
		o.table.Put(now, r)
	}
	return o.members
}

func (o *origins) get(now time.Time, key origin.Key) (origin.Record, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Get(now, key)
}

// begin registers a search and returns the ID of its requests.
func (o *origins) begin(answers chan<- originAnswer) uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastID++
	o.searches[o.lastID] = answers
	return o.lastID
}

func (o *origins) end(id uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.searches, id)
}

// deliver passes an answer to its search. The channels have room for all answers.
func (o *origins) deliver(id uint64, a originAnswer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if answers, ok := o.searches[id]; ok {
		select {
		case answers <- a:
		default:
		}
	}
}

// followList records that the list of endpoints is known as of a time.
func (o *origins) followList(asOf time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !asOf.IsZero() {
		o.history.Follow(asOf)
	}
}

// endpointsLeft records that endpoints are listed no more.
func (o *origins) endpointsLeft(list []*catalog.Endpoint) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, e := range list {
		o.history.Left(time.Now(), origin.Origin{Service: e.Service, Version: e.Version})
	}
}

// sole returns the only version of a service's endpoints since the given time, if there is only one.
func (o *origins) sole(since time.Time, service string, listed []string) (string, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.history.Sole(since, service, listed)
}

// recent returns the versions of a service's endpoints since the given time.
func (o *origins) recent(since time.Time, service string, listed []string) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.history.Recent(since, service, listed)
}

// recoverVersions adds the versions that a service had lately, as recorded in the store at a time.
func (o *origins) recoverVersions(readAt time.Time, service string, recorded, listed []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.Recover(readAt, readAt.Add(-origin.StoredTTL), service, recorded, listed)
}

// size returns the number of records, and of those that were dropped for want of room.
func (o *origins) size() (records int, dropped uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.Len(), o.table.Dropped()
}

// exchangesOrigins reports whether this node exchanges records with others.
func (n *Node) exchangesOrigins() bool { return !n.disabled.Has(mechanism.Origins) }

// caller returns the name of the request's client account, or its API key if it has none.
func (q *request) caller() string {
	if q.account == "" {
		return q.in.APIKey
	}
	return q.account
}

// originKeys returns the keys of the stream that a request begins or continues: by the ID of its first
// attempt and by its content.
func (q *request) originKeys() (attempt, content origin.Key) {
	id := q.in.Resumes
	if id == "" {
		id = q.in.RequestID
	}
	return origin.KeyOf(q.caller(), id), origin.ContentKeyOf(q.caller(), q.content[:])
}

// recordOrigin records where the stream of a request began, here and at the owners. The stream of an
// attempt that continues another one is recorded under the IDs of both.
func (n *Node) recordOrigin(q *request, began origin.Origin) {
	attempt, content := q.originKeys()
	keys := []origin.Key{attempt, content}
	if q.in.Resumes != "" && q.in.Resumes != q.in.RequestID {
		keys = append(keys, origin.KeyOf(q.caller(), q.in.RequestID))
	}
	records := make([]origin.Record, len(keys))
	for i, key := range keys {
		records[i] = origin.Record{Key: key, Origin: began, TTL: q.waits() + originMargin}
	}
	now := time.Now()
	members := n.origins.put(now, records...)
	n.sendOrigins(members.Owners(n.settings.Node, keys...), records...)
	n.keepOrigin(now, records[0])
}

// sendOrigins sends records to nodes.
func (n *Node) sendOrigins(nodes []string, records ...origin.Record) {
	if len(nodes) == 0 || !n.exchangesOrigins() {
		return
	}
	var m wire.StreamOrigins
	for _, r := range records {
		m.Origins = append(m.Origins, wireOrigin(r))
	}
	for _, e := range entriesOf(*n.entries.Load(), nodes) {
		n.links.Send(e.PeerAddress, m)
	}
}

// copyOrigins copies records to the nodes that have become their owners.
func (n *Node) copyOrigins(now time.Time) {
	o := n.origins
	o.mu.Lock()
	if now.Sub(o.copiedAt) < originCopyInterval {
		o.mu.Unlock()
		return
	}
	copies := o.table.CopiesFor(now, o.copied, o.members, n.settings.Node)
	o.copied, o.copiedAt = o.members, now
	o.mu.Unlock()
	for node, records := range copies {
		for len(records) > 0 {
			part := records[:min(len(records), maxOriginsPerMessage)]
			records = records[len(part):]
			n.sendOrigins([]string{node}, part...)
		}
	}
}

// originSearch is the outcome of a search for where a stream began.
type originSearch struct {
	record origin.Record
	result origin.Result
	source originSource
	// asked is the number of nodes that were asked, and silent that of those that did not answer.
	asked, silent int
}

// findOrigin returns where the stream began that a request continues. If the client doesn't name the attempt
// that began it, all streams of the same content must have begun there. If no node knows, what was written to the store is
// read.
func (n *Node) findOrigin(ctx context.Context, q *request) originSearch {
	attempt, content := q.originKeys()
	key, owners := attempt, []origin.Key{attempt, content}
	if q.in.Resumes == "" {
		key, owners = content, owners[1:]
	}
	if r, ok := n.origins.get(time.Now(), key); ok {
		if r.Ambiguous {
			return originSearch{result: origin.Ambiguous}
		}
		return originSearch{record: r, result: origin.Found, source: originOwn}
	}
	if !n.exchangesOrigins() {
		return originSearch{result: origin.Unknown}
	}
	found := n.searchOrigin(ctx, key, owners)
	if found.result == origin.Found {
		n.origins.put(time.Now(), found.record)
	}
	if found.result != origin.Unknown {
		return found
	}
	recovered := n.recoverOrigins(ctx)
	if r, ok := n.origins.get(time.Now(), key); ok {
		found.record, found.result, found.source = r, origin.Found, originStored
		if r.Ambiguous {
			found.result = origin.Ambiguous
		}
		return found
	}
	if q.in.Resumes != "" && !recovered {
		return found
	}
	return n.assumeOrigin(q, found)
}

// assumeOrigin completes a search in vain. If the endpoints of the service, by a fresh list, have been of one version as long
// as the client waits, the stream goes on there, unless its route leads to several services. It may have begun before this node
// or the holders of its record were restarted.
func (n *Node) assumeOrigin(q *request, found originSearch) originSearch {
	now, v := time.Now(), n.view.Load()
	elsewhere := func(b catalog.Backend) bool { return b.Service != q.service }
	if v.freshness.Stale(now) || slices.ContainsFunc(q.route.Backends, elsewhere) {
		return found
	}
	version, ok := n.origins.sole(now.Add(-q.waits()), q.service, n.listedVersions(v)[q.service])
	if !ok {
		return found
	}
	found.result, found.source = origin.Found, originAssumed
	found.record.Origin = origin.Origin{Service: q.service, Version: version}
	return found
}

// waits returns how long the client of a request waits.
func (q *request) waits() time.Duration {
	if q.in.Timeout <= 0 {
		return defaultTimeout
	}
	return q.in.Timeout
}

// searchOrigin asks the owners of the given keys for the record of one of them.
func (n *Node) searchOrigin(ctx context.Context, key origin.Key, owners []origin.Key) originSearch {
	s := origin.NewSearch(n.origins.put(time.Now()), n.settings.Node, owners...)
	answers := make(chan originAnswer, maxOriginAnswers)
	id := n.origins.begin(answers)
	defer n.origins.end(id)
	ask := func() {
		for _, e := range entriesOf(*n.entries.Load(), s.Next()) {
			n.links.Send(e.PeerAddress, wire.StreamOriginRequest{ID: id, Key: key[:]})
		}
	}
	ctx, cancel := context.WithTimeout(ctx, n.originTimeout)
	defer cancel()
	later := time.NewTimer(originRoundDelay)
	defer later.Stop()
	ask()
	for {
		record, result := s.Result()
		if result != origin.Pending {
			return originSearch{record: record, result: result, source: originPeer, asked: s.Asked(), silent: s.Open()}
		}
		select {
		case a := <-answers:
			if s.Answer(a.record, a.ok) {
				ask()
			}
		case <-later.C:
			ask()
		case <-ctx.Done():
			return originSearch{result: origin.Unknown, asked: s.Asked(), silent: s.Open()}
		}
	}
}

// handleStreamOrigins adds the records of another node.
func (n *Node) handleStreamOrigins(from wire.Hello, m *wire.StreamOrigins) {
	if !n.exchangesOrigins() {
		return
	}
	records := make([]origin.Record, 0, len(m.Origins))
	for i := range m.Origins {
		r, err := originRecord(&m.Origins[i])
		if err != nil {
			n.log.Warn(eventUnexpectedMessage, zap.String("node", from.Node), zap.Error(err))
			continue
		}
		records = append(records, r)
	}
	n.origins.put(time.Now(), records...)
	if m.Keep {
		n.writeLater(records...)
	}
}

// handleOriginRequest answers another node's search.
func (n *Node) handleOriginRequest(from wire.Hello, m *wire.StreamOriginRequest, answer peer.Answer) {
	if !n.exchangesOrigins() {
		return
	}
	key, err := origin.ParseKey(m.Key)
	if err != nil {
		n.log.Warn(eventUnexpectedMessage, zap.String("node", from.Node), zap.Error(err))
		return
	}
	out := wire.StreamOriginResponse{ID: m.ID}
	if r, ok := n.origins.get(time.Now(), key); ok {
		out.Found, out.Origin = true, wireOrigin(r)
	}
	_ = answer(out)
}

// handleOriginResponse passes another node's answer to the search that asked for it.
func (n *Node) handleOriginResponse(from wire.Hello, m *wire.StreamOriginResponse) {
	a := originAnswer{ok: m.Found}
	if m.Found {
		r, err := originRecord(&m.Origin)
		if err != nil {
			n.log.Warn(eventUnexpectedMessage, zap.String("node", from.Node), zap.Error(err))
			return
		}
		a.record = r
	}
	n.origins.deliver(m.ID, a)
}

func wireOrigin(r origin.Record) wire.StreamOrigin {
	return wire.StreamOrigin{Key: r.Key[:], Service: r.Origin.Service, Version: r.Origin.Version, Remaining: r.TTL.Milliseconds(), Ambiguous: r.Ambiguous}
}

func originRecord(m *wire.StreamOrigin) (origin.Record, error) {
	key, err := origin.ParseKey(m.Key)
	if err != nil {
		return origin.Record{}, err
	}
	return origin.Record{
		Key: key, Origin: origin.Origin{Service: m.Service, Version: m.Version},
		TTL: clamp.Milliseconds(m.Remaining), Ambiguous: m.Ambiguous,
	}, nil
}
