// Package limit enforces a client account's rate and concurrency limits on one node.
//
// # Usage
//
//	a := limit.NewAccount(now, limit.Settings{Rate: 50, Burst: 100, Concurrency: 64})
//	if wait, ok := a.Admit(now); !ok { refuse with retry-after wait }
//	defer a.Release()
package limit
