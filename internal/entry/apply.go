package entry

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/config"
	"gradetiller.example/internal/core/assignment"
	"gradetiller.example/internal/core/run"
	"gradetiller.example/internal/wire"
)

// Apply applies a snapshot of a control process. A configuration is ignored
// unless its version is higher than the active one, so that a stale control
// process cannot roll it back.
func (n *Node) Apply(s wire.Snapshot) error {
	cfg := n.cfg.Load()
	version := n.Version()
	if len(s.Config.Data) > 0 && s.Config.Version > version {
		parsed, err := config.Parse(fmt.Sprintf("version-%d", s.Config.Version), s.Config.Data)
		if err != nil {
			return fmt.Errorf("configuration version %d: %w", s.Config.Version, err)
		}
		cfg, version = parsed, s.Config.Version
	}
	if s.Unchanged {
		s.Entries = n.Entries()
	}
	if cfg == nil {
		// Later snapshots may omit unchanged entries, so store them now.
		n.setEntries(s.Entries)
		return nil
	}
	if !s.Settled && len(n.Entries()) > 0 {
		s.Entries = mergeEntries(n.Entries(), s.Entries)
	}
	if cfg != n.cfg.Load() || !slices.Equal(n.Entries(), s.Entries) {
		if err := n.configure(cfg, version, s.Entries); err != nil {
			return err
		}
	}
	n.step(func(time.Time) []run.Action {
		var actions []run.Action
		for _, e := range s.Endpoints {
			actions = append(actions, n.engine.SetDraining(e.Pool, e.Name, e.Leaving)...)
		}
		return actions
	})
	return nil
}

func (n *Node) configure(cfg *config.Config, version uint64, entries []wire.Entry) error {
	if err := n.configureEngine(cfg, version, entries); err != nil {
		return err
	}
	n.records.setNodes(entries)
	n.rebuildTable()
	return nil
}

func (n *Node) configureEngine(cfg *config.Config, version uint64, entries []wire.Entry) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.engine.Configure(time.Now(), cfg, countServing(entries)); err != nil {
		return err
	}
	n.entries = entries
	if version != n.version {
		n.log.Info("configuration in force", zap.Uint64("version", version), zap.String("digest", cfg.Digest()))
	}
	n.version = version
	n.cfg.Store(cfg)
	return nil
}

// mergeEntries returns the fresh entries and those known entries that fresh
// does not contain.
func mergeEntries(known, fresh []wire.Entry) []wire.Entry {
	merged := slices.Clone(fresh)
	for _, k := range known {
		if !slices.ContainsFunc(fresh, func(f wire.Entry) bool { return f.Node == k.Node }) {
			merged = append(merged, k)
		}
	}
	slices.SortFunc(merged, func(a, b wire.Entry) int { return cmp.Compare(a.Node, b.Node) })
	return merged
}

func countServing(entries []wire.Entry) int {
	count := 0
	for _, e := range entries {
		if !e.Leaving {
			count++
		}
	}
	return count
}

// Version returns the version of the active configuration; 0 means none.
func (n *Node) Version() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.version
}

func (n *Node) setEntries(entries []wire.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entries = entries
}

// Entries returns all entries of the system, as of the last snapshot.
func (n *Node) Entries() []wire.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.entries
}

// rebuildTable recomputes the locate responses. They include the node itself
// unless it is leaving, even if its control process is unreachable. A rebuild
// takes tens of milliseconds with thousands of accounts, so n.mu must not be
// held meanwhile.
func (n *Node) rebuildTable() {
	n.tableMu.Lock()
	defer n.tableMu.Unlock()
	cfg := n.cfg.Load()
	if cfg == nil {
		return
	}
	var list []assignment.Entry
	for _, e := range n.Entries() {
		if !e.Leaving && e.Node != n.id.Node {
			list = append(list, assignment.Entry{Node: e.Node, Address: e.Address, Domain: e.Domain, Region: e.Region})
		}
	}
	if !n.leaving.Load() {
		list = append(list, assignment.Entry{Node: n.id.Node, Address: n.id.Address, Domain: n.id.Domain, Region: n.id.Region})
	}
	accounts := make([]string, len(cfg.Accounts()))
	for i := range cfg.Accounts() {
		accounts[i] = cfg.Accounts()[i].Name()
	}
	table := assignment.NewTable(list, accounts, cfg.LocateAddresses())
	n.table.Store(table)
	shares := make([]float64, len(accounts))
	for i, a := range accounts {
		shares[i] = table.RateShare(a, n.id.Region, n.id.Node)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.engine.SetRateShares(time.Now(), func(i int) float64 { return shares[i] })
}

// Leave removes this node from its own locate responses immediately. The control
// process learns of it from the next status.
func (n *Node) Leave() {
	n.leaving.Store(true)
	n.rebuildTable()
}

// Leaving reports whether Leave was called.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Close makes the node refuse new requests as draining. After Close returns,
// InFlight does not increase, because Submit admits requests under the lock
// that Close has held.
func (n *Node) Close() {
	n.closed.Store(true)
	n.stopAt(time.Now())
}

func (n *Node) stopAt(ends time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.engine.StopAt(ends)
}

// Self returns this node's entry, as announced to the other nodes.
func (n *Node) Self() wire.Entry {
	return wire.Entry{
		Node: n.id.Node, Incarnation: n.id.Incarnation, Address: n.id.Address, PeerAddress: n.id.PeerAddress,
		Domain: n.id.Domain, Region: n.id.Region, Leaving: n.leaving.Load(),
	}
}
