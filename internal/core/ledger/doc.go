// Package ledger writes started records of at-most-once requests to the
// platform's table, many in one transaction.
//
// Safety relies on conditional inserts: a record is inserted only if it is
// absent, so at most one of several writers for a request id succeeds. The
// table's answers may be lost, so every record carries its run's token, and the
// row is read back when the outcome is in doubt. A record whose run was answered
// as "not run" is marked abandoned; only abandoned or expired records may be
// replaced.
//
// The package does no I/O: the caller passes in events and carries out the
// returned actions.
//
// # Usage
//
//	b := ledger.New()
//	actions := b.Start(now, 7, "acct/req-1", "token")
//	actions = b.WriteDone(now, ledger.WriteResult{Kind: ledger.WriteOK})
package ledger
