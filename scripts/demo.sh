#!/usr/bin/env bash
# Runs a group of balancers between the stand-ins for Serena's services, with
# the fault given as the first argument, and prints the counts as the last
# line. README.md explains the counts.
#
#   demo.sh ""        no fault
#   demo.sh kill      a balancer is killed, another joins under a new name
#   demo.sh zone      a zone is taken out of service and brought back
#   demo.sh freeze    a balancer is frozen while an upstream is replaced and a
#                     zone leaves, and resumes with what it knew before
#   demo.sh platform  the platform goes silent with its connections open
set -euo pipefail
cd "$(dirname "$0")/.."

fault="${1:-}"
case "$fault" in "" | kill | zone | freeze | platform) ;; *)
	echo "demo: unknown fault \"$fault\"; one of kill, zone, freeze, platform" >&2
	exit 2
	;;
esac

standin=bin/bvstandin
balsamvane=bin/balsamvane
run="$(mktemp -d)"
declare -A pids=()

# Each process has a loopback address of its own; the random part keeps two
# demos on one machine apart.
net="127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))"
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

# stopped NAME: waits for the end of a process.
stopped() {
	wait "${pids[$1]}" 2>/dev/null || true
	unset "pids[$1]"
}

# Names carry the numbers that give the addresses.
declare -A address=(
	[lb-a-1]="$net.11" [lb-a-2]="$net.12" [lb-a-3]="$net.13" [lb-b-1]="$net.21" [lb-b-2]="$net.22" [lb-c-1]="$net.31"
	[bench-a-1]="$net.111" [bench-a-2]="$net.112" [bench-a-3]="$net.113" [bench-a-4]="$net.114"
	[bench-b-1]="$net.121" [bench-b-2]="$net.122" [bench-b-3]="$net.123"
	[certificate-a-1]="$net.211" [certificate-a-2]="$net.212" [certificate-a-3]="$net.213"
	[certificate-b-1]="$net.221" [certificate-b-2]="$net.222" [certificate-b-3]="$net.223" [certificate-c-1]="$net.231"
)
declare -A vni=([bench]=101 [certificate]=102)

zone_of() { local rest="${1#*-}"; echo "${rest%%-*}"; }
health() { echo "${address[$1]}:8080"; }
join() { local IFS=,; echo "$*"; }
health_list() { local l=(); for n in "$@"; do l+=("$(health "$n")"); done; join "${l[@]}"; }

upstream_json() {
	echo "{\"name\":\"$1\",\"service\":\"${1%%-*}\",\"zone\":\"$(zone_of "$1")\",\"tunnel\":\"${address[$1]}:6081\"," \
		"\"health\":\"$(health "$1")\",\"weight\":100,\"slots\":4,\"connections\":2000}"
}
balancer_json() {
	echo "{\"name\":\"$1\",\"zone\":\"$(zone_of "$1")\",\"tunnel\":\"${address[$1]}:6082\",\"control\":\"${address[$1]}:7001\"}"
}
service_json() {
	echo "{\"name\":\"$1\",\"vni\":${vni[$1]},\"addresses\":[\"$2\"],\"protocol\":\"tcp\",\"class\":\"$3\",\"idempotent\":$4," \
		"\"coldFlowsPerSecond\":10,\"warmFlowsPerSecond\":100,\"warmUp\":\"4s\",\"idleTimeout\":\"2h\"}"
}

start_upstream() {
	local service="${1%%-*}"
	start "$1" "$standin" upstream --name "$1" --service "$service" --vni "${vni[$service]}" \
		--tunnel "${address[$1]}:6081" --health "$(health "$1")" --caller "$caller:6081" \
		--cold-for 3s --cold-rate 20 --counts-file "$run/counts/$1.json"
	"$standin" await "http://$(health "$1")/health"
}

start_balancer() {
	local a="${address[$1]}"
	cat >"$run/$1.yaml" <<-YAML
		node: $1
		zone: $(zone_of "$1")
		group: serena
		listen: {fabric: "$a:6081", peer: "$a:6082", control: "$a:7001", admin: "$a:9001"}
		fabric: {return: "$fabric:6082"}
		platform: {addresses: ["$platform:8080"]}
		keys: {peer: "$run/peer.key"}
	YAML
	start "$1" "$balsamvane" run --settings "$run/$1.yaml"
}
balancer_active() { "$standin" await "http://${address[$1]}:9001/status" --match '"state": "active"'; }

# spray NAME…: the balancers to which the fabric sends packets.
spray() {
	for n in "$@"; do echo "${address[$n]}:6081"; done >"$run/balancers.new"
	mv "$run/balancers.new" "$run/balancers"
}

# publish REVISION CHANGE…: prints the time of publication.
publish() {
	local revision="$1"
	shift
	"$standin" publish --directory "$run/platform" --group serena --revision "$revision" --fragment "$run/base.json" "$@"
}

zone_b=(bench-b-1 bench-b-2 bench-b-3 certificate-b-1 certificate-b-2 certificate-b-3)
upstreams=(bench-a-1 bench-a-2 bench-a-3 certificate-a-1 certificate-a-2 certificate-a-3 "${zone_b[@]}")
balancers=(lb-a-1 lb-a-2 lb-b-1 lb-b-2)
zones='{"name":"a","region":"serena"},{"name":"b","region":"serena"}'
counted=("${upstreams[@]}")
if [ "$fault" = freeze ]; then
	# The zone that leaves has short requests only, so that all of them can
	# end first and no flow is given up.
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
	for n in "${counted[@]}"; do h+=("\"$(health "$n")\""); done
	cat >"$run/base.json" <<-JSON
		{"hashSeed":7,"zones":[$zones],
		 "services":[$(service_json bench 203.0.113.10:443 feed false),$(service_json certificate 203.0.113.20:443 bulk true)],
		 "upstreams":[$(join "${u[@]}")],"balancers":[$(join "${b[@]}")]}
	JSON
	echo "{\"upstreams\":[$(upstream_json bench-a-4)]}" >"$run/new-upstream.json"
	echo "{\"balancers\":[$(balancer_json lb-a-3)]}" >"$run/new-balancer.json"
	cat >"$run/services.yaml" <<-YAML
		services:
		  - {name: bench, address: "203.0.113.10:443", vni: 101, feeds: 24, ticketsPerSecond: 10, summariesPerSecond: 10}
		  - {name: certificate, address: "203.0.113.20:443", vni: 102, certificatesPerSecond: 6, deadline: 10s}
		upstreams: [$(join "${h[@]}")]
	YAML
}

fault_kill() {
	publish 2 --add "$run/new-balancer.json" >/dev/null
	kill -KILL "${pids[lb-a-1]}"
	stopped lb-a-1
	start_balancer lb-a-3
	"$standin" await "http://${address[lb-a-3]}:9001/status"
	spray lb-a-2 lb-a-3 lb-b-1 lb-b-2
}

fault_zone() {
	local list since
	list="$(health_list "${zone_b[@]}")"
	since="$(publish 2 --out-zone b)"
	"$standin" post "http://$caller:8080/zone?state=out&health=$list"
	quiet_ms="$("$standin" quiet --since "$since" "$list")"
	publish 3 >/dev/null
	"$standin" post "http://$caller:8080/zone?state=in&health=$list"
}

fault_freeze() {
	kill -STOP "${pids[lb-a-1]}"
	start_upstream bench-a-4
	publish 2 --add "$run/new-upstream.json" --leaving bench-a-1,certificate-c-1 >/dev/null
	kill -TERM "${pids[bench-a-1]}"
	"$standin" await "http://$(health certificate-c-1)/health" --match '"openConnections":0'
	"$standin" quiet "$(health certificate-c-1)" >/dev/null
	publish 3 --add "$run/new-upstream.json" --leaving bench-a-1,certificate-c-1 --out-zone c >/dev/null
	"$standin" quiet "$(health certificate-c-1)" >/dev/null
	resumed="$(date +%s%3N)"
	kill -CONT "${pids[lb-a-1]}"
}

write_files
publish 1 >/dev/null
start platform "$standin" platform --directory "$run/platform" --listen "$platform:8080" --control "$platform:8081"
"$standin" await "http://$platform:8080/v1/values/groups/serena/manifest"
spray "${balancers[@]}"
start fabric "$standin" fabric --listen "$fabric:6081" --return "$fabric:6082" --caller "$caller:6081" --balancers "$run/balancers"
for n in "${upstreams[@]}"; do start_upstream "$n"; done
for n in "${balancers[@]}"; do start_balancer "$n"; done
for n in "${balancers[@]}"; do balancer_active "$n"; done

start caller "$standin" caller --services "$run/services.yaml" --listen "$caller:6081" --fabric "$fabric:6081" \
	--control "$caller:8080" --duration 20s --warm-up 6s --counts-dir "$run/counts" --report "$run/report.json"
"$standin" await "http://$caller:8080/reached?whole=120&feeds=24"
quiet_ms=-1
resumed=""
case "$fault" in
kill) fault_kill ;;
zone) fault_zone ;;
freeze) fault_freeze ;;
platform) "$standin" post "http://$platform:8081/mode?mode=silent" ;;
esac
stopped caller

status=0
if [ -n "$resumed" ]; then
	late="$("$standin" quiet --since "$resumed" --silence 0s "$(health certificate-c-1)")"
	if [ "$late" -gt 0 ]; then
		echo "failed: the zone that left had a packet $late ms after the frozen balancer resumed"
		status=1
	fi
fi
"$standin" verdict --report "$run/report.json" --fault "$fault" --zone-quiet-ms "$quiet_ms" || status=1
exit "$status"
