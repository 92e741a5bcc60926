#!/usr/bin/env bash
# Injects faults into real processes under load and prints a row per case. Fails
# if a result was lost, doubled or delivered to the wrong request, if a node's
# configuration version went back, or if an engine carried out a stale order.
#
# usage: faults.sh [CASE...]
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/system.sh
trap 'kill $(jobs -p) 2>/dev/null || true; stop_system' EXIT
ALL="kill_entry kill_control pause_control pause_entry store_outage lost_answers racing_applies endpoint_leaving endpoint_hangs all_together"
ACCOUNTS=barbers=key-barbers:3,clinics=key-clinics:3,tutors=key-tutors,tradesmen=key-tradesmen:2,print-shop=key-print-shop
PIPELINES=roster:3,month-summary:2,note-tags:3,book-slot:2:once
FAULT_AT=2
SECONDS_EACH=${SECONDS_EACH:-14}
RATE=40

order() { # TARGET FAULT SECONDS
  printf '{"target":"%s","fault":"%s","seconds":%s}' "$1" "$2" "$3" >"$RUN_DIR/order.json"
  local body
  body=$(cat "$RUN_DIR/order.json")
  exec 8<>"/dev/tcp/${PLATFORM%:*}/${PLATFORM#*:}"
  printf 'POST /admin/fault HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s' ${#body} "$body" >&8
  cat <&8 >/dev/null
  exec 8>&- 8<&-
}

# version NODE prints the configuration version in force on an entry.
version() {
  local address
  address=$(entry_address "$1")
  exec 7<>"/dev/tcp/${address%:*}/${address#*:}" || return 0
  printf 'GET /metrics HTTP/1.0\r\n\r\n' >&7
  sed -n 's/^gradetiller_config_version \([0-9]*\).*/\1/p' <&7
  exec 7>&- 7<&-
} 2>/dev/null

# watch_versions counts how often a node's version decreases, also across its
# restarts, and writes the count to $RUN_DIR/reverted.
watch_versions() {
  local -A seen
  local i v reverted=0
  while :; do
    for i in $(seq 1 "$NODES"); do
      v=$(timeout 0.5 bash -c "$(declare -f version entry_address); HOST=$HOST; version $i" || true)
      [ -n "$v" ] && [ "$v" != 0 ] || continue
      [ "$v" -ge "${seen[$i]:-0}" ] || reverted=$((reverted + 1))
      seen[$i]=$v
    done
    echo "$reverted" >"$RUN_DIR/reverted"
    sleep 0.2
  done
}

# stale_orders prints the number of orders that engines carried out although they
# had seen a later epoch.
stale_orders() {
  exec 6<>"/dev/tcp/${PLATFORM%:*}/${PLATFORM#*:}"
  printf 'GET /admin/orders HTTP/1.0\r\n\r\n' >&6
  sed -n 's/.*"stale":\([0-9]*\).*/\1/p' <&6
  exec 6>&- 6<&-
}

apply_as() { # OPERATOR DEADLINE
  sed "s/deadline: 1s/deadline: $2/" examples/whitmore.yaml >"$RUN_DIR/apply-$1.yaml"
  "$BIN/gradetiller" apply --control "$(control_address "$3")" --operator "$1" "$RUN_DIR/apply-$1.yaml" >>"$RUN_DIR/applies.log" 2>&1 || true
}

race() {
  local k
  for k in 1 2 3 4 5; do
    apply_as ann "9${k}0ms" 1 &
    apply_as ben "8${k}0ms" 3 &
    wait $!
    sleep 0.5
  done
}

# restart runs in the fault's subshell, whose changes of PID are lost, so that it
# writes the new PIDs to a file from which they are stopped.
restart() { # KIND NODE
  "start_$1" "$2"
  echo "${PID[$1-$2]}" >>"$RUN_DIR/restarted"
}

bring_about() {
  case $1 in
  kill_entry) kill -9 "${PID[entry-2]}"; sleep 3; restart entry 2 ;;
  kill_control) kill -9 "${PID[control-1]}"; sleep 3; restart control 1 ;;
  pause_control) kill -STOP "${PID[control-2]}"; sleep 8; kill -CONT "${PID[control-2]}" ;;
  pause_entry) kill -STOP "${PID[entry-3]}"; sleep 3; kill -CONT "${PID[entry-3]}" ;;
  store_outage) order platform outage "${OUTAGE:-8}" ;;
  lost_answers) order platform lose_answer 6 ;;
  racing_applies) race ;;
  endpoint_leaving) order lm-1 leaving 0; order book-1 leaving 0 ;;
  endpoint_hangs) order rank-2 hang 8; order lm-3 hang 8 ;;
  all_together)
    kill -9 "${PID[entry-1]}"
    kill -STOP "${PID[control-2]}"
    order platform lose_answer 3
    order lm-2 hang 6
    order enc-1 leaving 0
    race
    order platform outage 2
    restart entry 1
    kill -CONT "${PID[control-2]}"
    ;;
  *) echo "unknown case $1; expected one of $ALL" >&2; exit 2 ;;
  esac
}

one() {
  RUN_DIR=.run/faults-$1
  rm -rf "$RUN_DIR"
  mkdir -p "$RUN_DIR"
  echo 0 >"$RUN_DIR/reverted"
  start_system examples/whitmore.yaml whitmore "kgn-1 kgn-2 kgn-3 kgn-4" 3
  apply_config examples/whitmore.yaml >/dev/null
  sleep 2
  watch_versions &
  local watcher=$!
  (sleep $FAULT_AT; bring_about "$1") >"$RUN_DIR/fault.log" 2>&1 &
  local fault=$!
  local row
  row=$("$BIN/gradetiller-load" --entries "$(list entry_address 1 3)" --account $ACCOUNTS --pipeline $PIPELINES \
    --requests $((SECONDS_EACH * RATE)) --rate $RATE --once-share 0.1 --stream-share 0.3 --fault-at ${FAULT_AT}s \
    --standin "$PLATFORM" --row "case=$1" || true)
  wait $fault || true
  kill $watcher 2>/dev/null || true
  wait $watcher 2>/dev/null || true
  echo "$row reverted=$(cat "$RUN_DIR/reverted") stale_orders=$(stale_orders)" | sed -E 's/ (p50_ms|goodput|cost_[a-z]+)=[^ ]*//g'
  if [ -f "$RUN_DIR/restarted" ]; then
    kill -TERM $(cat "$RUN_DIR/restarted") 2>/dev/null || true
    kill -TERM $(cat "$RUN_DIR/restarted") 2>/dev/null || true
  fi
  stop_system
  sleep 0.3
}

harm=0
for name in ${*:-$ALL}; do
  row=
  one "$name" | tee ".run/row.$$"
  grep -qE ' lost=0 doubled=0 crossed=0 reverted=0 stale_orders=0$' ".run/row.$$" || harm=1
done
rm -f ".run/row.$$"
exit $harm
