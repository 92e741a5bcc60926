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
	pointerKey   = "config/current"
	pollInterval = 5 * time.Second
	storeTimeout = 3 * time.Second
	maxHistory   = 50
)

// ApplyTimeout bounds an apply, the longest request that changes anything.
const ApplyTimeout = 20 * time.Second

// pointer is the value of a version's history row, and of the row that names
// the version in force.
type pointer struct {
	Version  uint64    `json:"version"`
	Digest   string    `json:"digest"`
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	WriteID  string    `json:"write_id"`
}

func historyKey(version uint64) string { return fmt.Sprintf("config/version/%d", version) }

func objectName(digest string) string { return "config-" + digest + ".gz" }

// ConflictError tells that another operator's configuration came first.
type ConflictError struct {
	winner pointer
}

// Error implements the error interface.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d by operator %q is in force since %s; fetch it, look at the difference and apply again",
		e.winner.Version, e.winner.Operator, e.winner.At.UTC().Format(time.RFC3339))
}

// errUnknown tells that the store did not say whether the write took effect.
var errUnknown = errors.New("the store did not say whether the configuration was accepted; it may be in force later, see history")

// errStoreAway tells that nothing was changed.
var errStoreAway = errors.New("the platform's store does not answer; nothing was changed")

// Apply puts a file in force as a whole, if base is still the version in
// force. It returns the new version.
func (c *Control) Apply(ctx context.Context, base uint64, data []byte, operator string) (uint64, config.Problems, error) {
	cfg, warnings, err := config.ParseWithWarnings("file", data)
	if err != nil {
		return 0, warnings, err
	}
	ctx, cancel := context.WithTimeout(ctx, ApplyTimeout)
	defer cancel()
	row, current, err := c.readPointer(ctx)
	if err != nil {
		return 0, warnings, fmt.Errorf("%w: %v", errStoreAway, err)
	}
	if current.Version != base {
		return 0, warnings, &ConflictError{winner: current}
	}
	small, err := packed.Pack(data)
	if err != nil {
		return 0, warnings, err
	}
	if err := c.objects.Put(ctx, objectName(cfg.Digest()), small); err != nil {
		return 0, warnings, fmt.Errorf("%w: %v", errStoreAway, err)
	}
	next := pointer{Version: base + 1, Digest: cfg.Digest(), Operator: operator, At: time.Now(), WriteID: rand.Text()}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, warnings, err
	}
	// The history row decides: it is inserted once and never overwritten, so
	// that a later version cannot hide what became of this write.
	outcome, seen := platform.Commit(ctx, c.table, []platform.Put{
		{Key: historyKey(next.Version), Value: value},
		{Key: pointerKey, IfVersion: row.Version, Value: value},
	}, func(value []byte) bool {
		var p pointer
		return json.Unmarshal(value, &p) == nil && p.WriteID == next.WriteID
	})
	c.record("apply", fmt.Sprintf("version/%d", next.Version), fmt.Sprintf("operator=%q outcome=%s digest=%s", operator, outcome, next.Digest))
	switch outcome {
	case condwrite.Applied:
		c.putInForce(wire.ConfigFile{Version: next.Version, Digest: next.Digest, Data: data}, cfg, "operator "+operator)
		return next.Version, warnings, nil
	case condwrite.Superseded:
		return 0, warnings, c.lostTo(ctx, seen, next.Version)
	case condwrite.NotApplied:
		return 0, warnings, errStoreAway
	}
	return 0, warnings, errUnknown
}

func (c *Control) lostTo(ctx context.Context, seen platform.Row, version uint64) error {
	var winner pointer
	if json.Unmarshal(seen.Value, &winner) == nil && winner.Version >= version {
		return &ConflictError{winner: winner}
	}
	if _, current, err := c.readPointer(ctx); err == nil {
		winner = current
	}
	return &ConflictError{winner: winner}
}

func (c *Control) readPointer(ctx context.Context) (platform.Row, pointer, error) {
	rows, err := c.table.Read(ctx, pointerKey)
	if err != nil {
		return platform.Row{}, pointer{}, err
	}
	var p pointer
	if rows[0].Version > 0 {
		if err := json.Unmarshal(rows[0].Value, &p); err != nil {
			return rows[0], p, fmt.Errorf("row %s: %w", pointerKey, err)
		}
	}
	return rows[0], p, nil
}

// History returns the latest versions, newest first.
func (c *Control) History(ctx context.Context) ([]pointer, error) {
	_, current, err := c.readPointer(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errStoreAway, err)
	}
	var keys []string
	for v := current.Version; v > 0 && len(keys) < maxHistory; v-- {
		keys = append(keys, historyKey(v))
	}
	if len(keys) == 0 {
		return nil, nil
	}
	rows, err := c.table.Read(ctx, keys...)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errStoreAway, err)
	}
	list := make([]pointer, 0, len(rows))
	for _, r := range rows {
		var p pointer
		if r.Version > 0 && json.Unmarshal(r.Value, &p) == nil {
			list = append(list, p)
		}
	}
	return list, nil
}

// configLoop polls the pointer; peers are often faster.
func (c *Control) configLoop(ctx context.Context) {
	every(ctx, pollInterval, func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		err := c.pollConfig(ctx)
		c.setStoreAway(err)
	})
}

func (c *Control) setStoreAway(err error) {
	away := err != nil
	c.mu.Lock()
	before := c.storeAway
	c.storeAway = away
	c.mu.Unlock()
	if away != before {
		c.record("store", "platform", fmt.Sprintf("away=%t error=%v", away, err))
		c.signal()
	}
}

func (c *Control) pollConfig(ctx context.Context) error {
	_, current, err := c.readPointer(ctx)
	if err != nil {
		return err
	}
	if current.Version <= c.Version() {
		return nil
	}
	small, err := c.objects.Get(ctx, objectName(current.Digest))
	if err != nil {
		return err
	}
	c.takePacked(wire.ConfigFile{Version: current.Version, Digest: current.Digest, Data: small}, "store")
	return nil
}

// takePacked unpacks a configuration and takes it.
func (c *Control) takePacked(f wire.ConfigFile, source string) {
	if f.Version <= c.Version() {
		return
	}
	data, err := packed.Unpack(f.Data)
	if err != nil {
		c.log.Error("configuration cannot be unpacked", zap.Uint64("version", f.Version), zap.String("source", source), zap.Error(err))
		return
	}
	f.Data = data
	c.takeFile(f, source)
}

// takeFile puts a configuration in force if it is whole, readable and above
// the present version.
func (c *Control) takeFile(f wire.ConfigFile, source string) {
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
	c.putInForce(f, cfg, source)
}

func (c *Control) putInForce(f wire.ConfigFile, cfg *config.Config, source string) {
	c.mu.Lock()
	taken := f.Version > c.inForce.Version
	if taken {
		c.inForce = f
		c.cfg = cfg
		c.member.SetConfigVersion(f.Version)
	}
	c.mu.Unlock()
	if taken {
		c.record("configuration", fmt.Sprintf("version/%d", f.Version), "in force, from "+source)
		c.signal()
	}
}

// Version returns the version of the configuration in force; 0 means none.
func (c *Control) Version() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inForce.Version
}

// instanceLoop reads the platform's list of instances.
func (c *Control) instanceLoop(ctx context.Context) {
	every(ctx, pollInterval, func() {
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
