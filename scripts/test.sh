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

# The race detector slows simulations down by a factor of 5 to 10 and finds nothing in packages that start
# no goroutines and share no state, so these are tested without it.
plain="" race=""
while IFS== read -r package dir; do
  ls "$dir"/*_test.go >/dev/null 2>&1 || continue
  if grep -qsE '^\s*go (func|[A-Za-z.]+\()|\.Go\(|"sync"|"sync/atomic"|"net"|"net/http"' "$dir"/*.go; then
    race="$race $package"
  else
    plain="$plain $package"
  fi
done < <(go list -f '{{.ImportPath}}={{.Dir}}' ./...)
node=gradetiller.example/internal/node
race=${race/ $node/}
# Simulations use all processors, and the tests of internal/node measure what is served in time, so they don't run
# beside each other. The longest tests of internal/node mostly wait: those that run one after the other, and those whose
# cases run beside each other.
serial='TestBrittleEndpoints|TestNodesWithoutPathsServe|TestStreamStaysAtItsSoftwareVersion'
parallel='TestAnnouncedRateLimitIsKept|TestBackoffIsHonored|TestWithdrawnRateLimit|TestDrainingEndpointGetsNoRequests|TestColdEndpoints|TestPromptPartThatCrashesEndpoints|TestPoisonIsRefused|TestRollout'
# These measure the heap of their process.
heap='TestFloodsAreBounded'

go test -race -run '^$' ./... >/dev/null
output=$(mktemp -d)
trap 'rm -rf "$output"' EXIT
part() { # NAME COMMAND...: runs a part of the tests beside the others
  local name=$1
  shift
  "$@" >"$output/$name" 2>&1 && echo "== $name passed" || { echo "== $name failed"; touch "$output/failed"; }
}
skip() { # prints the pattern of what to skip: the known failures and the given tests
  local list="$known${1:+${known:+|}$1}"
  [ -z "$list" ] || printf -- '-skip=%s' "$list"
}
part simulations go test -timeout 20m $(skip "") $plain
part node-serial go test -race -timeout 20m -run "^($serial)\$" $(skip "") $node &
part race go test -race -timeout 20m -p 2 $(skip "") $race &
part node-parallel go test -race -timeout 20m -run "^($parallel)\$" $(skip "") $node &
part node go test -race -timeout 20m $(skip "^($serial|$parallel|$heap)\$") $node &
part node-heap go test -race -timeout 20m -run "^($heap)\$" $(skip "") $node &
wait
cat "$output"/node-heap "$output"/node-serial "$output"/node-parallel "$output"/node "$output"/race "$output"/simulations
[ ! -e "$output/failed" ]
