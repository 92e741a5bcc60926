#!/usr/bin/env bash
# Runs each case on real processes with the naive and with the default policies,
# and prints a row per arm and seed.
#
# usage: measure.sh [CASE...]   (SEEDS="1 2 3", JOBS=3)
set -euo pipefail
cd "$(dirname "$0")/.."
SEEDS=${SEEDS:-1 2 3}
JOBS=${JOBS:-3}
ALL="steady burst slow_reranker dead_endpoint hung_endpoints greedy_account prefixes overload pwani_mix whitmore_mix"
NAIVE='policies: {order: fifo, place: round_robin, retry: plain, admission: none}'

# case_options NAME sets OPTIONS and FILE.
case_options() {
  FILE=examples/measure.yaml
  local mix="--account a=key-a,b=key-b,c=key-c --pipeline plan:3,note:1"
  case $1 in
  steady) OPTIONS="$mix --rate 75 --requests 450" ;;
  burst) OPTIONS="$mix --rate 60 --requests 800 --burst-at 2s --burst-for 2s --burst-factor 5" ;;
  slow_reranker) OPTIONS="$mix --rate 60 --requests 400 --fault 1s:rank-1:slow:0:200" ;;
  dead_endpoint) OPTIONS="$mix --rate 60 --requests 400 --fault 1s:lm-1:close_after_headers" ;;
  hung_endpoints) OPTIONS="$mix --rate 60 --requests 400 --fault 1s:enc-1:hang,1s:lm-2:hang" ;;
  greedy_account) OPTIONS="--account a=key-a:10,b=key-b,c=key-c --pipeline plan:3,note:1 --rate 240 --requests 1400 --measured b,c" ;;
  prefixes) OPTIONS="$mix --rate 75 --requests 450 --prefixes 24" ;;
  overload) OPTIONS="$mix --rate 330 --requests 2000" ;;
  pwani_mix) OPTIONS="--account a=key-a:3,b=key-b:2,c=key-c --pipeline plan:2,note:2,sell:2:once --rate 120 --requests 700" ;;
  whitmore_mix)
    FILE=examples/measure-cost.yaml
    OPTIONS="--account a=key-a:3,b=key-b:2,c=key-c --pipeline plan:4,note:2,sell:1:once --rate 45 --requests 300 --prefixes 40"
    ;;
  *)
    echo "unknown case $1; expected one of $ALL" >&2
    exit 2
    ;;
  esac
}

# one CASE ARM SEED JOB runs one arm of a case on the loopback address 127.0.0.JOB.
one() (
  HOST=127.0.0.$4
  RUN_DIR=.run/measure-$1-$2-$3
  . scripts/system.sh
  trap stop_system EXIT
  case_options "$1"
  mkdir -p "$RUN_DIR"
  sed "s/127\.0\.0\.1:/$HOST:/" "$FILE" >"$RUN_DIR/config.yaml"
  [ "$2" = default ] || sed -i "s/^policies: .*/$NAIVE/" "$RUN_DIR/config.yaml"
  start_system "$RUN_DIR/config.yaml" measure "d-1 d-2 d-3" 3
  apply_config "$RUN_DIR/config.yaml" >/dev/null
  sleep 2
  # shellcheck disable=SC2086
  "$BIN/gradetiller-load" --entries "$(list entry_address 1 3)" $OPTIONS --seed "$3" --standin "$PLATFORM" \
    --deadline 2s --retries 3 --stream-share 0.3 --row "case=$1 arm=$2 seed=$3" || true
)

jobs_running=0
job=0
rows=.run/measure-rows.$$
mkdir -p .run
: >"$rows"
for name in ${*:-$ALL}; do
  for seed in $SEEDS; do
    for arm in naive default; do
      job=$((job % JOBS + 1))
      one "$name" "$arm" "$seed" $((job + 1)) >>"$rows" &
      jobs_running=$((jobs_running + 1))
      if [ $jobs_running = "$JOBS" ]; then
        wait
        jobs_running=0
      fi
    done
  done
done
wait
sort "$rows"
if grep -vqE ' lost=0 doubled=0 crossed=0$' "$rows"; then
  echo "results were lost, doubled, or delivered to the wrong request" >&2
  exit 1
fi
