package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"gradetiller.example/internal/core/ledger"
	"gradetiller.example/internal/platform"
)

// TableStore is a Store in the platform's table.
type TableStore struct{ table platform.Table }

// NewTableStore returns a Store that uses the table.
func NewTableStore(t platform.Table) *TableStore { return &TableStore{table: t} }

// Write implements Store.
func (s *TableStore) Write(ctx context.Context, puts []ledger.Put) ledger.WriteResult {
	out := make([]platform.Put, len(puts))
	for i, p := range puts {
		value, err := json.Marshal(p.Record)
		if err != nil {
			return ledger.WriteResult{Kind: ledger.WriteRefused}
		}
		out[i] = platform.Put{Key: p.Key, IfVersion: p.IfVersion, Value: value}
	}
	err := s.table.Write(ctx, out)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return ledger.WriteResult{Kind: ledger.WriteOK}
	case errors.As(err, &conflict):
		rows, err := ledgerRows(conflict.Rows)
		if err != nil {
			return ledger.WriteResult{Kind: ledger.WriteUnknown}
		}
		return ledger.WriteResult{Kind: ledger.WriteConflict, Rows: rows}
	case errors.Is(err, platform.ErrRefused):
		return ledger.WriteResult{Kind: ledger.WriteRefused}
	}
	return ledger.WriteResult{Kind: ledger.WriteUnknown}
}

// Read implements Store.
func (s *TableStore) Read(ctx context.Context, keys []string) ([]ledger.Row, error) {
	rows, err := s.table.Read(ctx, keys...)
	if err != nil {
		return nil, err
	}
	return ledgerRows(rows)
}

func ledgerRows(rows []platform.Row) ([]ledger.Row, error) {
	out := make([]ledger.Row, len(rows))
	for i, r := range rows {
		out[i] = ledger.Row{Key: r.Key, Version: r.Version}
		if r.Version == 0 {
			continue
		}
		if err := json.Unmarshal(r.Value, &out[i].Record); err != nil {
			return nil, fmt.Errorf("row %s: %w", r.Key, err)
		}
	}
	return out, nil
}
