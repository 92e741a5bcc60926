// Package soak contains a randomized test of the real programs. It runs several
// nodes as separate processes on one machine, with a proxy on every connection,
// and injects faults into processes, connections, endpoints and the platform's
// store, some of them overlapping. It checks what clients and endpoints observe
// against the guarantees in docs/PROOFS.md.
//
// The package contains only test files, because no program of the system starts
// other processes. docs/SOAK.md describes the checks and the seeds that failed.
//
// # Usage
//
//	make soak SEEDS=50 FIRST=1 SECONDS_EACH=10 PROCESSES=4
//	go test ./internal/soak -args -first 17 -seeds 1 -logs /tmp/soak
package soak
