# Sourced by the scripts 4 to 7: runs one test of the stand-ins and turns its verdict into an exit status,
# 1 if the rule was broken, 0 if it held, 2 if the case could not run.
run_case() {
	local folder root output
	folder="$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)"
	root="$(cd "$folder/../.." && pwd)"
	[ -x "$root/target/gradetiller-node" ] && [ -x "$root/review/bin/standin-2" ] || { echo "build first: the deploy file and review/build-2.sh"; exit 2; }
	output="$(mktemp)"
	(cd "$root" && RECORD="$folder/record.txt" ROOT="$root" TROUBLE="${TROUBLE:-1}" LOGS="${LOGS:-}" timeout -k 5 115 review/bin/standin-2 -test.run "^$1\$" -test.timeout 110s) >"$output" 2>&1
	cat "$output"
	if grep -q '^VERDICT broken' "$output"; then rm -f "$output"; exit 1; fi
	if grep -q '^VERDICT held' "$output"; then rm -f "$output"; exit 0; fi
	rm -f "$output"
	exit 2
}
