#!/usr/bin/env bash
# Measures packets per second through a balancer process and through a plain
# UDP relay in turn, and prints a line for each and the ratio of the medians.
#
#   bench-relay.sh [ROUNDS] [PAYLOAD BYTES] [FLOWS]
set -euo pipefail
cd "$(dirname "$0")/.."

rounds="${1:-5}" size="${2:-200}" flows="${3:-1000}"
standin=bin/bvstandin
run="$(mktemp -d)"
net="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
pids=()

cleanup() {
	status=$?
	trap - EXIT
	for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
	for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
	if [ "$status" -eq 0 ]; then rm -rf "$run"; else echo "bench-relay: logs are in $run" >&2; fi
	exit "$status"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

# start NAME COMMAND…: runs a process in the background.
start() {
	local name="$1"
	shift
	"$@" >"$run/$name.out" 2>"$run/$name.log" &
	pids+=($!)
}

mkdir -p "$run/platform"
(umask 077 && head -c 16 /dev/urandom | od -An -v -tx1 | tr -d ' \n' >"$run/peer.key")
cat >"$run/base.json" <<-JSON
	{"hashSeed":7,"zones":[{"name":"a","region":"r"}],
	 "services":[{"name":"bench","vni":101,"addresses":["203.0.113.10:443"],"protocol":"tcp","class":"feed","idleTimeout":"2h"}],
	 "upstreams":[{"name":"up-1","service":"bench","zone":"a","tunnel":"$net.5:6081","weight":100,"slots":4,"connections":1000000}],
	 "balancers":[{"name":"lb-1","zone":"a","tunnel":"$net.2:6082","control":"$net.2:7001"}]}
JSON
cat >"$run/lb-1.yaml" <<-YAML
	node: lb-1
	zone: a
	group: bench
	listen: {fabric: "$net.2:6081", peer: "$net.2:6082", control: "$net.2:7001", admin: "$net.2:9001"}
	fabric: {return: "$net.4:6082"}
	platform: {addresses: ["$net.1:8080"]}
	keys: {peer: "$run/peer.key"}
YAML
"$standin" publish --directory "$run/platform" --group bench --revision 1 --fragment "$run/base.json" >/dev/null
start platform "$standin" platform --directory "$run/platform" --listen "$net.1:8080" --control "$net.1:8081"
"$standin" await "http://$net.1:8080/v1/values/groups/bench/manifest"
start balancer bin/balsamvane run --settings "$run/lb-1.yaml"
balancer_pid=$!
start relay "$standin" relay --listen "$net.3:6081" --to "$net.5:6081"
relay_pid=$!
"$standin" await "http://$net.2:9001/status" --match '"state": "active"'

# cpu_ticks PID: prints the processor time of a process in clock ticks.
cpu_ticks() { sed 's/.*) //' "/proc/$1/stat" | awk '{print $12 + $13}'; }

# measure_throughput ADDRESS PID: prints packets per second, packets lost,
# packets received and the processor time of the process in clock ticks.
measure_throughput() {
	local before
	before="$(cpu_ticks "$2")"
	"$standin" blast --to "$1:6081" --receive "$net.5:6081" --destination 203.0.113.10:443 \
		--flows "$flows" --size "$size" | tr -d ' \n' |
		sed 's/.*"received":\([0-9]*\).*"lost":\([0-9]*\).*"packetsPerSecond":\([0-9.]*\).*/\3 \2 \1 /'
	echo $(($(cpu_ticks "$2") - before))
}

median() { sort -n | awk '{v[NR] = $1} END {print v[int((NR + 1) / 2)]}'; }

for _ in $(seq "$rounds"); do
	measure_throughput "$net.3" "$relay_pid" >>"$run/relay.figures"
	measure_throughput "$net.2" "$balancer_pid" >>"$run/balancer.figures"
done
relay="$(median <"$run/relay.figures")" balancer="$(median <"$run/balancer.figures")"
hwm="$(awk '/VmHWM/ {print $2}' "/proc/$balancer_pid/status")"
echo "balancer: $hwm kB of memory at most, with 1 upstream and $flows flows"
hertz="$(getconf CLK_TCK)"
# format_totals FILE: prints the rate of each round, the packets lost and the
# processor time per packet.
format_totals() {
	awk -v hz="$hertz" '{printf "%s%.0f", s, $1; lost += $2; n += $3; t += $4; s = " "}
		END {printf "; %d packets lost; %.2f us of processor time a packet", lost, t / hz / n * 1e6}' "$1"
}
echo "bare relay: $relay packets/s median ($(format_totals "$run/relay.figures"))"
echo "balancer: $balancer packets/s median ($(format_totals "$run/balancer.figures"))"
awk -v b="$balancer" -v r="$relay" 'BEGIN {
	q = b / r
	printf "ratio %.2f, target >= 0.8, %s\n", q, (q >= 0.8 ? "met" : "MISSED")
}'
