// Package ledger decides how started records of requests that may run at most
// once are written to the platform's table, many in one transaction.
//
// Safety rests on one thing: a record is inserted only if it is absent, so of
// any number of writers for one request id one gets it. What the table
// answers may be lost, so every record carries its run's token, and a row is
// read back when in doubt. A record whose run was told "not run" is marked
// abandoned, and only such a record, or an expired one, may be taken over.
//
// The package does no input or output: events go in, actions come out.
//
// # Usage
//
//	b := ledger.New()
//	actions := b.Start(now, 7, "acct/req-1", "token")
//	actions = b.Wrote(now, ledger.WriteResult{Kind: ledger.WriteOK})
package ledger
