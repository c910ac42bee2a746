#!/usr/bin/env bash
# Runs the demo without a fault and with each fault in turn, and prints the last
# line of each run, or the whole output of a run that fails.
set -euo pipefail
cd "$(dirname "$0")/.."

failed=0
for fault in "" kill zone freeze platform stop; do
	if output="$(./scripts/demo.sh "$fault")"; then
		echo "demo ${fault:-without fault}: ${output##*$'\n'}"
	else
		failed=1
		echo "demo ${fault:-without fault} failed:"
		echo "$output"
	fi
done
exit "$failed"
