#!/usr/bin/env bash
# Runs the benchmarks and prints the tables of docs/CAPACITY.md.
set -euo pipefail
cd "$(dirname "$0")/.."
out=.run/benchmarks.txt
mkdir -p .run
{
  go test -run xxx -bench 'Members' -benchtime 5x ./internal/core/member
  go test -run xxx -bench 'Storm' -benchtime 1x ./internal/core/member
  go test -run xxx -bench 'GroupCommit' -benchtime 2x ./internal/core/ledger
  go test -run xxx -bench 'Snapshot|ConfigFile|Watch|Share' -benchtime 20x ./internal/control
  go test -run xxx -bench 'Choose/predicted' ./internal/core/place
  go test -run xxx -bench 'Run' ./internal/core/run
  go test -run xxx -bench 'NewTable' -benchtime 10x ./internal/core/assignment
  go test -run xxx -bench 'BenchmarkToken|AddedTime' -benchtime 200x ./internal/entry
  go test -run xxx -bench 'StreamedToken' -benchtime 10x ./internal/entry
  go test -run xxx -bench 'NodeMemory' -benchtime 1x ./internal/entry
} | tee "$out" | grep ^Benchmark >&2
go run ./internal/capacity/report <"$out"
