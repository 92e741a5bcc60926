#!/usr/bin/env bash
# Builds the programs, checks format, lint and dependencies, and runs the tests.
set -euo pipefail
cd "$(dirname "$0")/.."
export CGO_ENABLED=1

echo "== build"
go build -o bin/ ./cmd/...

echo "== format"
unformatted=$(go tool gofumpt -l $(git ls-files '*.go'))
if [ -n "$unformatted" ]; then
  echo "gofumpt would change:" >&2
  echo "$unformatted" >&2
  exit 1
fi

echo "== lint"
go vet ./...
go tool staticcheck ./...

echo "== programs"
# The programs must be linked to the C library and must not start other processes.
for program in bin/gradetiller*; do
  if ! readelf -d "$program" | grep -q 'NEEDED.*libc\.so'; then
    echo "$program is not linked to the C library" >&2
    exit 1
  fi
done
if git grep -nE '"os/exec"|syscall\.ForkExec|os\.StartProcess|httputil\.(New)?(SingleHost)?ReverseProxy|go-kit/kit/sd|io_uring' -- '*.go' ':!*_test.go'; then
  echo "programs must not start other processes or use a ready-made proxy or service discovery" >&2
  exit 1
fi

echo "== test"
# Skips and prints the tests in KNOWN-RED.txt, which names a test or one of its cases per
# line.
known=""
if [ -f KNOWN-RED.txt ]; then
  known=$(sed -nE 's#^(Test[A-Za-z0-9_]*)(/([A-Za-z0-9_-]+))?([: ].*)?$#^\1$/^\3$#p' KNOWN-RED.txt | sed 's#/^$$##' | paste -sd'|' -)
fi
[ -z "$known" ] || echo "skipped: $known"
go test -race -timeout 20m ${known:+-skip "$known"} ./...
