#!/usr/bin/env bash
# Runs the commands of the quick start in README.md and checks what they print.
# Only the loopback network is replaced, because the one in README.md may be in
# use.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/network.sh
claim_network

# The commands end within seconds; after this time one of them hangs.
limit=120s
run="$(mktemp -d)"
trap 'rm -rf "$run"' EXIT

{
	echo 'set -euo pipefail'
	# Kills the processes that a failed command leaves running.
	echo 'trap '\''jobs -p | xargs -r kill -KILL 2>/dev/null || true'\'' EXIT'
	sed -n '/^## Quick start/,/^## Further/p' README.md | sed -n '/^```sh$/,/^```$/{/^```/d;p}'
} | sed "s/^net=.*/net=$net/" >"$run/commands.sh"
grep -q '^net=' "$run/commands.sh" || {
	echo "quick start: README.md has no commands" >&2
	exit 1
}

status=0
TMPDIR="$run" timeout --kill-after=10s "$limit" bash "$run/commands.sh" >"$run/output" 2>&1 || status=$?

# expect PATTERN: records a failure unless a line of the output matches.
expect() {
	grep -Eq "$1" "$run/output" || {
		echo "quick start: the output has no line that matches $1" >&2
		status=1
	}
}
expect '^serena +1 '
expect '^mine +1 '
expect '^all agree$'
expect '"requests":([1-9][0-9]*),"whole":\1,'
expect '^mine +2 '
expect 'mistake\.csv:[0-9]+:[0-9]+: zone "a" has upstreams'
expect 'mistake\.yaml:[0-9]+:[0-9]+: .*tickets-9'
expect '^exit status 1$'
if [ "$status" -ne 0 ]; then
	cat "$run/output"
	exit 1
fi
echo "quick start: all commands of README.md work"
