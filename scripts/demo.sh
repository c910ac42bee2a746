#!/usr/bin/env bash
# Runs the balancers of the group serena with stand-ins for caller, fabric,
# platform and upstreams, causes the fault given as the first argument, and
# prints the counts as the last line. README.md explains the counts.
#
#   demo.sh ""        no fault
#   demo.sh kill      a balancer is killed, another joins under a new name
#   demo.sh zone      a zone is taken out of service and brought back
#   demo.sh freeze    a balancer is frozen while an upstream is replaced and a
#                     zone is taken out of service, and resumes with outdated
#                     state
#   demo.sh platform  the platform stops answering; connections stay open
#   demo.sh stop      upstreams drain and a balancer is stopped, as planned
set -euo pipefail
cd "$(dirname "$0")/.."

fault="${1:-}"
case "$fault" in "" | kill | zone | freeze | platform | stop) ;; *)
	echo "demo: unknown fault \"$fault\"; one of kill, zone, freeze, platform, stop" >&2
	exit 2
	;;
esac

standin=bin/bvstandin
balsamvane=bin/balsamvane
run="$(mktemp -d)"
declare -A pids=()

# Each process has its own loopback address in a network that no other demo
# uses. The first port varies as well, because a process that listens on all
# addresses occupies its port in every loopback network. It is below the
# kernel's range of ephemeral ports.
. scripts/network.sh
claim_network
port=$((RANDOM % 1500 * 10 + 10000))
tunnel=$port peer=$((port + 1)) control=$((port + 2)) admin=$((port + 3)) http=$((port + 4))
platform="$net.1" fabric="$net.2" caller="$net.3"

cleanup() {
	status=$?
	trap - EXIT
	for p in "${pids[@]}"; do
		kill -CONT "$p" 2>/dev/null || true
		kill -KILL "$p" 2>/dev/null || true
	done
	for p in "${pids[@]}"; do wait "$p" 2>/dev/null || true; done
	if [ "$status" -eq 0 ]; then
		rm -rf "$run"
	else
		echo "demo: logs and the report are in $run" >&2
	fi
	exit "$status"
}
trap cleanup EXIT
trap 'exit 1' INT TERM

# start NAME COMMAND…: runs a process in the background.
start() {
	local name="$1"
	shift
	"$@" >"$run/$name.out" 2>"$run/$name.log" &
	pids[$name]=$!
}

# wait_killed NAME: waits for the end of a process that was killed.
wait_killed() {
	wait "${pids[$1]}" 2>/dev/null || true
	unset "pids[$1]"
}

# expect_success NAME: waits for the end of a process, and records a failure if
# its exit status is not 0.
expect_success() {
	local code=0
	wait "${pids[$1]}" || code=$?
	unset "pids[$1]"
	if [ "$code" -ne 0 ]; then
		echo "failed: $1 ended with status $code"
		failed=1
	fi
}

# Addresses follow from the zone and the number in the name.
declare -A address=(
	[lb-a-1]="$net.11" [lb-a-2]="$net.12" [lb-a-3]="$net.13" [lb-b-1]="$net.21" [lb-b-2]="$net.22" [lb-c-1]="$net.31"
	[bench-a-1]="$net.111" [bench-a-2]="$net.112" [bench-a-3]="$net.113" [bench-a-4]="$net.114"
	[bench-b-1]="$net.121" [bench-b-2]="$net.122" [bench-b-3]="$net.123"
	[certificate-a-1]="$net.211" [certificate-a-2]="$net.212" [certificate-a-3]="$net.213"
	[certificate-b-1]="$net.221" [certificate-b-2]="$net.222" [certificate-b-3]="$net.223" [certificate-c-1]="$net.231"
	[station-a-1]="$net.131" [station-a-2]="$net.132" [station-b-1]="$net.141" [station-b-2]="$net.142"
)
declare -A vni=([bench]=101 [certificate]=102 [station]=103)

zone_of() { local rest="${1#*-}"; echo "${rest%%-*}"; }
health_address() { echo "${address[$1]}:$http"; }
join_by_comma() { local IFS=,; echo "$*"; }
health_addresses() { local l=(); for n in "$@"; do l+=("$(health_address "$n")"); done; join_by_comma "${l[@]}"; }

upstream_json() {
	echo "{\"name\":\"$1\",\"service\":\"${1%%-*}\",\"zone\":\"$(zone_of "$1")\",\"tunnel\":\"${address[$1]}:$tunnel\"," \
		"\"health\":\"$(health_address "$1")\",\"weight\":100,\"slots\":4,\"connections\":2000}"
}
balancer_json() {
	echo "{\"name\":\"$1\",\"zone\":\"$(zone_of "$1")\",\"tunnel\":\"${address[$1]}:$peer\",\"control\":\"${address[$1]}:$control\"}"
}
# service_json NAME ADDRESS PROTOCOL CLASS IDEMPOTENT
service_json() {
	echo "{\"name\":\"$1\",\"vni\":${vni[$1]},\"addresses\":[\"$2\"],\"protocol\":\"$3\",\"class\":\"$4\",\"idempotent\":$5," \
		"\"coldFlowsPerSecond\":10,\"warmFlowsPerSecond\":100,\"warmUp\":\"4s\",\"idleTimeout\":\"2h\"}"
}

start_upstream() {
	local service="${1%%-*}"
	start "$1" "$standin" upstream --name "$1" --service "$service" --vni "${vni[$service]}" \
		--tunnel "${address[$1]}:$tunnel" --health "$(health_address "$1")" --caller "$caller:$tunnel" \
		--cold-for 3s --cold-rate 20 --counts-file "$run/counts/$1.json"
	"$standin" await "http://$(health_address "$1")/health"
}

start_balancer() {
	local a="${address[$1]}"
	cat >"$run/$1.yaml" <<-YAML
		node: $1
		zone: $(zone_of "$1")
		group: serena
		listen: {fabric: "$a:$tunnel", peer: "$a:$peer", control: "$a:$control", admin: "$a:$admin"}
		fabric: {return: "$fabric:$peer"}
		platform: {addresses: ["$platform:$http"]}
		keys: {peer: "$run/peer.key"}
	YAML
	start "$1" "$balsamvane" run --settings "$run/$1.yaml"
}
await_active() { "$standin" await "http://${address[$1]}:$admin/status" --match '"state": "active"'; }

# set_balancers NAME…: sets the balancers to which the fabric sends packets.
set_balancers() {
	for n in "$@"; do echo "${address[$n]}:$tunnel"; done >"$run/balancers.new"
	mv "$run/balancers.new" "$run/balancers"
}

# publish REVISION CHANGE…: publishes a configuration and prints the Unix time
# in ms.
publish() {
	local revision="$1"
	shift
	"$standin" publish --directory "$run/platform" --group serena --revision "$revision" --fragment "$run/base.json" "$@"
}

# The services are bench (feeds, tickets and summaries), certificate (over
# IPv6) and station (readings of weather stations, over UDP). A reading is
# retransmitted before its answer can arrive, each time through a balancer
# that the fabric chooses at random.
bench="203.0.113.10:443" certificate="[2001:db8::20]:443" station="203.0.113.30:5683"
zone_b=(bench-b-1 bench-b-2 bench-b-3 certificate-b-1 certificate-b-2 certificate-b-3 station-b-1 station-b-2)
upstreams=(bench-a-1 bench-a-2 bench-a-3 certificate-a-1 certificate-a-2 certificate-a-3 station-a-1 station-a-2 "${zone_b[@]}")
balancers=(lb-a-1 lb-a-2 lb-b-1 lb-b-2)
zones='{"name":"a","region":"serena"},{"name":"b","region":"serena"}'
retransmit_after=10ms
counted=("${upstreams[@]}")
if [ "$fault" = freeze ]; then
	# The zone that is taken out of service has short requests only, so that
	# all of them end before and no flow is abandoned.
	zones="$zones,{\"name\":\"c\",\"region\":\"serena\"}"
	upstreams+=(certificate-c-1)
	balancers+=(lb-c-1)
	counted+=(certificate-c-1 bench-a-4)
fi

write_files() {
	mkdir -p "$run/platform" "$run/counts"
	(umask 077 && head -c 16 /dev/urandom | od -An -v -tx1 | tr -d ' \n' >"$run/peer.key")
	local u=() b=() h=()
	for n in "${upstreams[@]}"; do u+=("$(upstream_json "$n")"); done
	for n in "${balancers[@]}"; do b+=("$(balancer_json "$n")"); done
	for n in "${counted[@]}"; do h+=("\"$(health_address "$n")\""); done
	cat >"$run/base.json" <<-JSON
		{"hashSeed":7,"zones":[$zones],
		 "services":[$(service_json bench "$bench" tcp feed false),$(service_json certificate "$certificate" tcp bulk true),
		  $(service_json station "$station" udp interactive false)],
		 "upstreams":[$(join_by_comma "${u[@]}")],"balancers":[$(join_by_comma "${b[@]}")]}
	JSON
	echo "{\"upstreams\":[$(upstream_json bench-a-4)]}" >"$run/new-upstream.json"
	echo "{\"balancers\":[$(balancer_json lb-a-3)]}" >"$run/new-balancer.json"
	cat >"$run/services.yaml" <<-YAML
		services:
		  - {name: bench, address: "$bench", vni: 101, feeds: 24, ticketsPerSecond: 10, summariesPerSecond: 10}
		  - {name: certificate, address: "$certificate", vni: 102, certificatesPerSecond: 6, deadline: 10s}
		  - {name: station, address: "$station", vni: 103, protocol: udp, ticketsPerSecond: 10, retransmitAfter: $retransmit_after}
		upstreams: [$(join_by_comma "${h[@]}")]
	YAML
}

fault_kill() {
	publish 2 --add "$run/new-balancer.json" >/dev/null
	kill -KILL "${pids[lb-a-1]}"
	wait_killed lb-a-1
	start_balancer lb-a-3
	"$standin" await "http://${address[lb-a-3]}:$admin/status"
	set_balancers lb-a-2 lb-a-3 lb-b-1 lb-b-2
}

fault_zone() {
	local list since
	list="$(health_addresses "${zone_b[@]}")"
	since="$(publish 2 --out-zone b)"
	"$standin" post "http://$caller:$http/zone?state=out&health=$list&since=$since"
	quiet_ms="$("$standin" quiet --since "$since" "$list")"
	publish 3 >/dev/null
	"$standin" post "http://$caller:$http/zone?state=in&health=$list"
}

fault_freeze() {
	kill -STOP "${pids[lb-a-1]}"
	start_upstream bench-a-4
	publish 2 --add "$run/new-upstream.json" --leaving bench-a-1,certificate-c-1 >/dev/null
	kill -TERM "${pids[bench-a-1]}"
	"$standin" await "http://$(health_address certificate-c-1)/health" --match '"openConnections":0'
	"$standin" quiet "$(health_address certificate-c-1)" >/dev/null
	publish 3 --add "$run/new-upstream.json" --leaving bench-a-1,certificate-c-1 --out-zone c >/dev/null
	"$standin" quiet "$(health_address certificate-c-1)" >/dev/null
	resumed="$(date +%s%3N)"
	kill -CONT "${pids[lb-a-1]}"
}

# A planned stop: a VM that is leaving gets no new flows once all balancers
# have the revision, and ends when its flows have ended. The fabric sends to the
# balancer until it has ended.
fault_stop() {
	publish 2 --leaving lb-a-1,bench-a-1,certificate-a-1 >/dev/null
	for n in "${balancers[@]}"; do "$standin" await "http://${address[$n]}:$admin/status" --match '"revision": 2'; done
	kill -TERM "${pids[lb-a-1]}" "${pids[bench-a-1]}" "${pids[certificate-a-1]}"
	expect_success certificate-a-1
	expect_success lb-a-1
	set_balancers lb-a-2 lb-b-1 lb-b-2
}

failed=0
write_files
publish 1 >/dev/null
start platform "$standin" platform --directory "$run/platform" --listen "$platform:$http" --control "$platform:$control"
"$standin" await "http://$platform:$http/v1/values/groups/serena/manifest"
set_balancers "${balancers[@]}"
start fabric "$standin" fabric --listen "$fabric:$tunnel" --return "$fabric:$peer" --caller "$caller:$tunnel" --balancers "$run/balancers"
for n in "${upstreams[@]}"; do start_upstream "$n"; done
for n in "${balancers[@]}"; do start_balancer "$n"; done
for n in "${balancers[@]}"; do await_active "$n"; done

start caller "$standin" caller --services "$run/services.yaml" --listen "$caller:$tunnel" --fabric "$fabric:$tunnel" \
	--control "$caller:$http" --duration 20s --warm-up 6s --counts-dir "$run/counts" --report "$run/report.json"
"$standin" await "http://$caller:$http/reached?whole=120&feeds=24"
quiet_ms=-1
resumed=""
case "$fault" in
kill) fault_kill ;;
zone) fault_zone ;;
freeze) fault_freeze ;;
stop) fault_stop ;;
platform) "$standin" post "http://$platform:$control/mode?mode=silent" ;;
esac
# The fault must end before the traffic, or the run is not conclusive.
if ! kill -0 "${pids[caller]}" 2>/dev/null; then
	echo "failed: the traffic ended before the fault"
	failed=1
fi
expect_success caller

if [ -n "$resumed" ]; then
	late="$("$standin" quiet --since "$resumed" --silence 0s "$(health_address certificate-c-1)")"
	if [ "$late" -gt 0 ]; then
		echo "failed: the zone out of service had a packet $late ms after the frozen balancer resumed"
		failed=1
	fi
fi
if [ "$fault" = stop ]; then expect_success bench-a-1; fi
"$standin" verdict --report "$run/report.json" --fault "$fault" --zone-quiet-ms "$quiet_ms" || failed=1
exit "$failed"
