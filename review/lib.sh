# Functions of the cases' scripts.
#
# run_case SCENARIO NODES WORKERS starts the stand-ins of a scenario, that many nodes with the command of
# deploy/system.toml, and that many model workers as processes of their own. It writes record.txt beside the
# script that calls it, ends all processes that it started, and exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.

case_dir=$(cd "$(dirname "$0")" && pwd)
root=$case_dir
while [ ! -e "$root/go.mod" ]; do root=$(dirname "$root"); done
standin="$root/review/bin/standin"
node="target/gradetiller-node"
pids=()

finish() {
  local status=$1
  trap - EXIT INT TERM
  if [ -n "${work:-}" ]; then
    touch "$work/stop"
  fi
  # The supervisors first, so that nothing is started again.
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  for file in "${work:-/nonexistent}"/*.pid; do
    [ -e "$file" ] && { kill -CONT "$(cat "$file")"; kill -KILL "$(cat "$file")"; } 2>/dev/null
  done
  wait 2>/dev/null
  if [ -n "${KEEP_LOGS:-}" ]; then echo "logs: $work"; else rm -rf "${work:-/nonexistent}"; fi
  exit "$status"
}

# supervise NAME COMMAND... runs a command, and starts it again a second after it has ended.
supervise() {
  local name=$1
  shift
  while [ ! -e "$work/stop" ]; do
    "$@" >>"$work/$name.log" 2>&1 &
    echo $! >"$work/$name.pid.new"
    mv "$work/$name.pid.new" "$work/$name.pid"
    wait $!
    sleep 1
  done
}

run_case() {
  local scenario=$1 nodes=$2 workers=$3 i
  cd "$root" || exit 2
  for program in "$standin" "$node"; do
    [ -x "$program" ] || { echo "missing: ${program#"$root"/}; run the build of the deploy file and review/build.sh" >&2; exit 2; }
  done
  work=$(mktemp -d) || exit 2
  trap 'finish 2' EXIT INT TERM
  "$standin" "$scenario" --dir "$work" --record "$case_dir/record.txt" --trouble "${TROUBLE:-1}" --nodes "$nodes" --workers "$workers" --framed "${FRAMED:-0}" &
  local driver=$!
  pids+=("$driver")
  for ((i = 0; i < 100; i++)); do
    [ -e "$work/ready" ] && break
    sleep 0.1
  done
  [ -e "$work/ready" ] || finish 2
  for ((i = 1; i <= workers; i++)); do
    supervise "worker-$i" "$standin" worker --dir "$work" --name "worker-$i" &
    pids+=($!)
  done
  for ((i = 1; i <= nodes; i++)); do
    supervise "node-$i" env -i PATH="$PATH" HOME="${HOME:-/}" LANG="${LANG:-C}" GRADETILLER_SETTINGS="$work/node-$i.yaml" "$node" &
    pids+=($!)
  done
  wait "$driver"
  finish $?
}
