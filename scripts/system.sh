# Functions that start and stop a complete trial system of real processes on the
# loopback interface. Sourced by the other scripts.
#
# start_system CONFIG SYSTEM DOMAINS NODES starts the stand-ins, and an entry and a
# control process per node; stop_system stops all of them. Logs go to $RUN_DIR.

BIN=${BIN:-bin}
RUN_DIR=${RUN_DIR:-.run/$$}
HOST=${HOST:-127.0.0.1}
PLATFORM=$HOST:9000
declare -A PID

entry_address() { echo "$HOST:$((7100 + $1))"; }
entry_peer_address() { echo "$HOST:$((7400 + $1))"; }
control_peer_address() { echo "$HOST:$((7200 + $1))"; }
control_address() { echo "$HOST:$((7300 + $1))"; }

# list FUNCTION FIRST LAST prints the function's values for FIRST to LAST, joined by
# commas.
list() {
  local out=() i
  for i in $(seq "$2" "$3"); do out+=("$($1 "$i")"); done
  local IFS=,
  echo "${out[*]}"
}

start_standin() {
  local instances=() i
  for i in $(seq 1 "$NODES"); do instances+=("n$i=$(control_peer_address "$i")@${DOMAINS[$(((i - 1) % ${#DOMAINS[@]}))]}"); done
  local IFS=,
  "$BIN/gradetiller-standin" --config "$CONFIG" --listen $PLATFORM --instances "${instances[*]}" \
    >"$RUN_DIR/standin.log" 2>&1 &
  PID[standin]=$!
}

start_control() {
  "$BIN/gradetiller-control" --system "$SYSTEM" --node "n$1" \
    --failure-domain "${DOMAINS[$((($1 - 1) % ${#DOMAINS[@]}))]}" \
    --peer-listen "$(control_peer_address "$1")" --listen "$(control_address "$1")" \
    --platform "http://$PLATFORM" >>"$RUN_DIR/control-$1.log" 2>&1 &
  PID[control-$1]=$!
}

start_entry() {
  local controls i
  controls=$(control_peer_address "$1")
  for i in $(seq 1 "$NODES"); do [ "$i" = "$1" ] || controls+=",$(control_peer_address "$i")"; done
  "$BIN/gradetiller-entry" --system "$SYSTEM" --node "n$1" \
    --failure-domain "${DOMAINS[$((($1 - 1) % ${#DOMAINS[@]}))]}" \
    --listen "$(entry_address "$1")" --peer-listen "$(entry_peer_address "$1")" \
    --control "$controls" --platform "http://$PLATFORM" >>"$RUN_DIR/entry-$1.log" 2>&1 &
  PID[entry-$1]=$!
}

# answers ADDRESS PATH succeeds if a GET returns status 200.
answers() {
  local host=${1%:*} port=${1#*:} status
  exec 9<>"/dev/tcp/$host/$port" || return 1
  printf 'GET %s HTTP/1.0\r\n\r\n' "$2" >&9
  read -r _ status _ <&9
  exec 9>&- 9<&-
  [ "$status" = 200 ]
} 2>/dev/null

# await ADDRESS PATH waits up to 20 s until a GET returns status 200.
await() {
  local i
  for i in $(seq 1 200); do
    answers "$1" "$2" && return 0
    sleep 0.1
  done
  echo "$1$2 did not return status 200 within 20 s" >&2
  return 1
}

start_system() {
  CONFIG=$1 SYSTEM=$2 NODES=$4
  read -ra DOMAINS <<<"$3"
  local i
  mkdir -p "$RUN_DIR"
  start_standin
  await "$PLATFORM" /admin/usage
  if ! kill -0 "${PID[standin]}" 2>/dev/null; then
    echo "another process listens on $PLATFORM; stop it first" >&2
    return 1
  fi
  for i in $(seq 1 "$NODES"); do start_control "$i"; done
  for i in $(seq 1 "$NODES"); do await "$(control_address "$i")" /metrics; done
  for i in $(seq 1 "$NODES"); do start_entry "$i"; done
}

apply_config() {
  "$BIN/gradetiller" apply --control "$(control_address 1)" --operator "${2:-trial}" "$1"
  local i
  for i in $(seq 1 "$NODES"); do await "$(entry_address "$i")" /healthz; done
}

stop_system() {
  local p
  for p in "${PID[@]}"; do kill -CONT "$p" 2>/dev/null || true; kill -TERM "$p" 2>/dev/null || true; kill -TERM "$p" 2>/dev/null || true; done
  for p in "${PID[@]}"; do wait "$p" 2>/dev/null || true; done
  PID=()
}
