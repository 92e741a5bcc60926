package control

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"gradetiller.example/config"
	"gradetiller.example/internal/core/condwrite"
	"gradetiller.example/internal/packed"
	"gradetiller.example/internal/platform"
	"gradetiller.example/internal/wire"
)

const (
	currentVersionKey  = "config/current"
	storePollInterval  = 5 * time.Second
	storeTimeout       = 3 * time.Second
	maxHistoryVersions = 50
)

// ApplyTimeout bounds Apply, the longest request that changes state.
const ApplyTimeout = 20 * time.Second

// versionRow is the value of two kinds of table rows: the history row of a
// version, and the row at currentVersionKey, which names the version in force.
type versionRow struct {
	Version  uint64    `json:"version"`
	Digest   string    `json:"digest"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	WriteID  string    `json:"write_id"`
}

func historyKey(version uint64) string { return fmt.Sprintf("config/version/%d", version) }

func objectName(digest string) string { return "config-" + digest + ".gz" }

// ConflictError reports that another operator's configuration was applied first.
type ConflictError struct {
	winner versionRow
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d by operator %q is in force since %s; fetch it, look at the difference and apply again",
		e.winner.Version, e.winner.Operator, e.winner.At.UTC().Format(time.RFC3339))
}

// errOutcomeUnknown reports that the store did not confirm whether the write took effect.
var errOutcomeUnknown = errors.New("the store did not say whether the configuration was accepted; it may be in force later, see history")

// errStoreUnavailable reports that the store did not answer and nothing was changed.
var errStoreUnavailable = errors.New("the platform's store does not answer; nothing was changed")

// Apply puts a configuration file in force if base is still the version in
// force, and returns the new version.
func (c *Control) Apply(ctx context.Context, base uint64, data []byte, operator string) (uint64, config.Problems, error) {
	cfg, warnings, err := config.ParseWithWarnings("file", data)
	if err != nil {
		return 0, warnings, err
	}
	ctx, cancel := context.WithTimeout(ctx, ApplyTimeout)
	defer cancel()
	row, current, err := c.readCurrentVersion(ctx)
	if err != nil {
		return 0, warnings, fmt.Errorf("%w: %v", errStoreUnavailable, err)
	}
	if current.Version != base {
		return 0, warnings, &ConflictError{winner: current}
	}
	compressed, err := packed.Pack(data)
	if err != nil {
		return 0, warnings, err
	}
	if err := c.objects.Put(ctx, objectName(cfg.Digest()), compressed); err != nil {
		return 0, warnings, fmt.Errorf("%w: %v", errStoreUnavailable, err)
	}
	next := versionRow{Version: base + 1, Digest: cfg.Digest(), Operator: operator, At: time.Now(), WriteID: rand.Text()}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, warnings, err
	}
	// The history row is inserted once and never overwritten, so it shows the
	// outcome of this write even after a later version was applied.
	outcome, seen := platform.Commit(ctx, c.table, []platform.Put{
		{Key: historyKey(next.Version), Value: value},
		{Key: currentVersionKey, IfVersion: row.Version, Value: value},
	}, func(value []byte) bool {
		var v versionRow
		return json.Unmarshal(value, &v) == nil && v.WriteID == next.WriteID
	})
	c.record("apply", fmt.Sprintf("version/%d", next.Version), fmt.Sprintf("operator=%q outcome=%s digest=%s", operator, outcome, next.Digest))
	switch outcome {
	case condwrite.Applied:
		c.putConfigInForce(wire.ConfigFile{Version: next.Version, Digest: next.Digest, Data: data}, cfg, "operator "+operator)
		return next.Version, warnings, nil
	case condwrite.Superseded:
		return 0, warnings, c.conflictError(ctx, seen, next.Version)
	case condwrite.NotApplied:
		return 0, warnings, errStoreUnavailable
	}
	return 0, warnings, errOutcomeUnknown
}

func (c *Control) conflictError(ctx context.Context, seen platform.Row, version uint64) error {
	var winner versionRow
	if json.Unmarshal(seen.Value, &winner) == nil && winner.Version >= version {
		return &ConflictError{winner: winner}
	}
	if _, current, err := c.readCurrentVersion(ctx); err == nil {
		winner = current
	}
	return &ConflictError{winner: winner}
}

func (c *Control) readCurrentVersion(ctx context.Context) (platform.Row, versionRow, error) {
	rows, err := c.table.Read(ctx, currentVersionKey)
	if err != nil {
		return platform.Row{}, versionRow{}, err
	}
	var v versionRow
	if rows[0].Version > 0 {
		if err := json.Unmarshal(rows[0].Value, &v); err != nil {
			return rows[0], v, fmt.Errorf("row %s: %w", currentVersionKey, err)
		}
	}
	return rows[0], v, nil
}

// History returns up to maxHistoryVersions versions, newest first.
func (c *Control) History(ctx context.Context) ([]versionRow, error) {
	_, current, err := c.readCurrentVersion(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errStoreUnavailable, err)
	}
	var keys []string
	for v := current.Version; v > 0 && len(keys) < maxHistoryVersions; v-- {
		keys = append(keys, historyKey(v))
	}
	if len(keys) == 0 {
		return nil, nil
	}
	rows, err := c.table.Read(ctx, keys...)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errStoreUnavailable, err)
	}
	list := make([]versionRow, 0, len(rows))
	for _, r := range rows {
		var v versionRow
		if r.Version > 0 && json.Unmarshal(r.Value, &v) == nil {
			list = append(list, v)
		}
	}
	return list, nil
}

// configLoop polls the store for a new version; gossip from peers often announces
// it earlier.
func (c *Control) configLoop(ctx context.Context) {
	every(ctx, storePollInterval, func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		err := c.pollConfig(ctx)
		c.updateStoreState(err)
	})
}

func (c *Control) updateStoreState(err error) {
	unavailable := err != nil
	c.mu.Lock()
	before := c.storeUnavailable
	c.storeUnavailable = unavailable
	c.mu.Unlock()
	if unavailable != before {
		c.record("store", "platform", fmt.Sprintf("away=%t error=%v", unavailable, err))
		c.notifyEntries()
	}
}

func (c *Control) pollConfig(ctx context.Context) error {
	_, current, err := c.readCurrentVersion(ctx)
	if err != nil {
		return err
	}
	if current.Version <= c.Version() {
		return nil
	}
	compressed, err := c.objects.Get(ctx, objectName(current.Digest))
	if err != nil {
		return err
	}
	c.applyPackedConfig(wire.ConfigFile{Version: current.Version, Digest: current.Digest, Data: compressed}, "store")
	return nil
}

// applyPackedConfig decompresses a configuration and applies it.
func (c *Control) applyPackedConfig(f wire.ConfigFile, source string) {
	if f.Version <= c.Version() {
		return
	}
	data, err := packed.Unpack(f.Data)
	if err != nil {
		c.log.Error("configuration cannot be unpacked", zap.Uint64("version", f.Version), zap.String("source", source), zap.Error(err))
		return
	}
	f.Data = data
	c.applyConfig(f, source)
}

// applyConfig puts a configuration in force if its digest matches, it parses,
// and its version is above the current one.
func (c *Control) applyConfig(f wire.ConfigFile, source string) {
	if f.Version <= c.Version() {
		return
	}
	sum := sha256.Sum256(f.Data)
	if hex.EncodeToString(sum[:]) != f.Digest {
		c.log.Error("configuration has another digest than told", zap.Uint64("version", f.Version), zap.String("source", source))
		return
	}
	cfg, err := config.Parse(fmt.Sprintf("version-%d", f.Version), f.Data)
	if err != nil {
		c.log.Error("configuration cannot be read", zap.Uint64("version", f.Version), zap.String("source", source), zap.Error(err))
		return
	}
	c.putConfigInForce(f, cfg, source)
}

func (c *Control) putConfigInForce(f wire.ConfigFile, cfg *config.Config, source string) {
	c.mu.Lock()
	newer := f.Version > c.inForce.Version
	if newer {
		c.inForce = f
		c.cfg = cfg
		c.member.SetConfigVersion(f.Version)
	}
	c.mu.Unlock()
	if newer {
		c.record("configuration", fmt.Sprintf("version/%d", f.Version), "in force, from "+source)
		c.notifyEntries()
	}
}

// Version returns the version of the configuration in force, or 0 if there is none.
func (c *Control) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce.Version
}

// instanceLoop polls the platform's instance list, which seeds the membership.
func (c *Control) instanceLoop(ctx context.Context) {
	every(ctx, storePollInterval, func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		list, err := c.instances.List(ctx)
		if err != nil {
			c.log.Debug("instance list unreadable", zap.Error(err))
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.member.SetSeeds(seedsOf(list))
	})
}
