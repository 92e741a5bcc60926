#!/usr/bin/env bash
# Runs a system with stand-ins for the platform and all endpoints. It serves 300
# requests while one entry is shut down gracefully in the middle.
#
# usage: run.sh whitmore|pwani
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/system.sh
trap stop_system EXIT

case ${1:-whitmore} in
whitmore)
  domains="kgn-1 kgn-2 kgn-3 kgn-4"
  accounts=barbers=key-barbers:3,clinics=key-clinics:3,tutors=key-tutors,tradesmen=key-tradesmen:2,print-shop=key-print-shop
  pipelines=roster:3,month-summary:3,note-tags:3,book-slot:1:once
  ;;
pwani)
  domains="mba-1 mba-2 mba-3"
  accounts=agents=key-agents:3,hauliers=key-hauliers:3,gate-clerks=key-gate-clerks,berth-office=key-berth-office:2,depots=key-depots
  pipelines=window-plan:3,slot-confirmation:3,entry-note:3,sell-slot:1:once
  ;;
*)
  echo "usage: run.sh whitmore|pwani" >&2
  exit 2
  ;;
esac

start_system "examples/$1.yaml" "$1" "$domains" 3
apply_config "examples/$1.yaml"
"$BIN/gradetiller" status --control "$(control_address 2)"
(
  sleep 4
  echo "stopping node n2 gracefully"
  kill -TERM "${PID[entry-2]}"
) &
status=0
"$BIN/gradetiller-load" --entries "$(list entry_address 1 3)" --account "$accounts" --pipeline "$pipelines" \
  --requests 300 --rate 40 --once-share 0.1 --stream-share 0.3 --standin $PLATFORM >"$RUN_DIR/load.out" || status=$?
drained=0
wait "${PID[entry-2]}" || drained=$?
unset 'PID[entry-2]'
echo "node n2 exited with status $drained"
[ "$drained" = 0 ] || status=1
cat "$RUN_DIR/load.out"
exit $status
