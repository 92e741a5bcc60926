#!/usr/bin/env bash
# Measures the value of each mechanism: simulates the days with faults of some sites
# with one mechanism disabled at a time, and prints the mean worth. CPU time is not
# counted, so that results are mostly reproducible.
#
#   BENCH=... SITES="a.toml b.toml" SEEDS="11 12 13" scripts/ablation.sh [MECHANISM...]
#
# "none" runs with all mechanisms enabled. Journal entries are copied back to journal/.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${BENCH:?set it to the path of the simulator}"
: "${SITES:?set it to the paths of site files}"
SEEDS=${SEEDS:-11 12 13}
DAYS=${DAYS:-trouble-1 scale-1 trouble-2 scale-2 trouble-3}
JOBS=${JOBS:-7}
if [ $# -eq 0 ]; then
  set -- none $(sed -n 's/^\t[A-Z][A-Za-z]* *Mechanism = "\(.*\)"/\1/p' internal/core/mechanism/mechanism.go)
fi

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# play MECHANISM SITE prints the mean worth over all days and seeds.
play() {
  local mechanism=$1 site out
  site=$(realpath "$2")
  out=$scratch/out-$mechanism-$(basename "$2" .toml)
  mkdir -p "$out"
  for day in $DAYS; do
    for seed in $SEEDS; do echo "$day $seed"; done
  done | (cd "$scratch/$mechanism" && xargs -P "$JOBS" -L1 bash -c '
    "$0" run "$1" "$4" --seed "$5" --no-cpu --why "ablation: without $2, seed $5" >"$3/$4-$5.txt" 2>&1 || true
  ' "$BENCH" "$site" "$mechanism" "$out")
  awk '/^worth /{sum += $2; n++} /BROKEN/{broken++}
    END{if (n) printf "%.4f (%d plays, %d broken)", sum / n, n, broken; else printf "no result"}' "$out"/*.txt
}

for mechanism in "$@"; do
  git clone -q . "$scratch/$mechanism"
  if [ "$mechanism" != none ]; then
    echo "env = { GRADETILLER_WITHOUT = \"$mechanism\" }" >>"$scratch/$mechanism/deploy/system.toml"
  fi
  (cd "$scratch/$mechanism" && "$BENCH" build >/dev/null)
  for site in $SITES; do
    printf '%-14s %-22s %s\n' "$mechanism" "$(basename "$site" .toml)" "$(play "$mechanism" "$site")"
  done
  cp -rn "$scratch/$mechanism/journal/." journal/
  rm -rf "${scratch:?}/$mechanism"
done
