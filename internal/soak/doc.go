// Package soak holds a randomized test of the real programs: several nodes run
// as separate processes on one machine, behind a proxy for every connection,
// while faults from outside hit processes, connections, endpoints and the
// platform's store, in series and overlapping. What clients and endpoints see is
// checked against the promises of docs/PROOFS.md.
//
// The package has test files only, since programs of the system start no other
// process. docs/SOAK.md tells what is checked and which seeds have failed.
//
// # Usage
//
//	make soak SEEDS=50 FIRST=1 SECONDS_EACH=10 PROCESSES=4
//	go test ./internal/soak -args -first 17 -seeds 1 -logs /tmp/soak
package soak
