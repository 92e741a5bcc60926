# Sourced by the scripts 4 and 5: runs one test of the stand-ins and turns its verdict into an exit status, 1 if the
# rule was broken, 0 if it held, 2 if the case could not run. It ends the nodes that the test may have left, by the ids
# that the test wrote when it started them.
end_left() {
	local pid
	while read -r pid; do
		[ "$(readlink "/proc/$pid/exe")" = "$root/target/gradetiller-node" ] && kill -9 "$pid"
	done 2>/dev/null <"$work/pids"
	rm -rf "$work"
}

run_case() {
	folder="$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)"
	root="$(cd "$folder/../.." && pwd -P)"
	[ -x "$root/target/gradetiller-node" ] && [ -x "$root/review/bin/standin-2" ] || { echo "build first: the deploy file and review/build-2.sh"; exit 2; }
	work="$(mktemp -d)" || exit 2
	: >"$work/pids"
	trap end_left EXIT
	trap 'exit 2' INT TERM
	(cd "$root" && exec env TMPDIR="$work" PIDS="$work/pids" RECORD="$folder/record.txt" ROOT="$root" TROUBLE="${TROUBLE:-1}" LOGS="${LOGS:-}" timeout -k 3 110 review/bin/standin-2 -test.run "^$1\$" -test.timeout 105s) >"$work/output" 2>&1
	cat "$work/output"
	grep -q '^VERDICT cannot run' "$work/output" && exit 2
	grep -q '^VERDICT broken' "$work/output" && exit 1
	grep -q '^VERDICT held' "$work/output" && exit 0
	exit 2
}
