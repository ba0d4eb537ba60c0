#!/usr/bin/env bash
# Measures the CPU time, memory and network traffic of agents and entries on
# loopback addresses. Usage: scripts/measure.sh AGENTS ENTRIES TASKS SECONDS
# Starts AGENTS + ENTRIES + 3 processes on addresses in 127.0.0.0/22 and stops only
# these at the end.
set -eu
agents=${1:-12} entries=${2:-2} tasks=${3:-50} seconds=${4:-20}
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
go build -o "$bin/" ./cmd/...
pids=()
stop() { kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$bin"; }
trap stop EXIT
run() { "$@" >/dev/null 2>>"$bin/log" & pids+=($!); }

zones="z0 z1 z2"
run "$bin/pvalve-standin" log --address 127.0.0.1:7001
run "$bin/pvalve-standin" workers --address 127.0.0.1:7002 --count $((agents * 3)) --zones $zones
addresses=""
for i in $(seq "$agents"); do addresses="$addresses 127.0.1.$i:7100"; done
run "$bin/pvalve-standin" endpoints --addresses $addresses
export PVALVE_LOG_URL=http://127.0.0.1:7001 PVALVE_FLEET_URL=http://127.0.0.1:7002 PVALVE_ZONES=z0,z1,z2
export PVALVE_REGION=r PVALVE_CELLS_PER_ZONE=$(((agents + 8) / 9)) PVALVE_LOG_LEVEL=error
sleep 1
for i in $(seq "$agents"); do
	run "$bin/pvalve-agent" --name "agent-$i" --address "127.0.1.$i:7200" --zone "z$((i % 3))" \
		--service cordPath --endpoint-url "http://127.0.1.$i:7100" --admin-address "127.0.1.$i:7300"
done
for i in $(seq "$entries"); do
	run "$bin/pvalve-entry" --name "entry-$i" --address "127.0.2.$i:8080" --zone z0 --admin-address "127.0.2.$i:7300"
done
sleep 15
export PVALVE_ENTRY=http://127.0.2.1:8080
"$bin/pvalvectl" allowances publish -f examples/load-allowances.yaml >/dev/null
"$bin/pvalvectl" plans publish -f examples/load-plans.yaml >/dev/null
sleep 3
for i in $(seq "$tasks"); do "$bin/pvalvectl" task submit standing --id "t$i" >/dev/null; done
sleep 10

# value ADDRESS PATTERN: prints the sum of the process's metrics that match.
value() { curl -s "http://$1:7300/metrics" | awk -v p="$2" '$0 ~ p && $1 !~ /^#/ {s += $NF} END {printf "%.3f\n", s}'; }
snapshot() {
	for i in $(seq "$agents"); do echo "agent 127.0.1.$i"; done
	for i in $(seq "$entries"); do echo "entry 127.0.2.$i"; done
}
measure() {
	snapshot | while read -r role address; do
		echo "$role $address $(value "$address" ^process_cpu_seconds_total) $(value "$address" ^process_resident_memory_bytes)" \
			"$(value "$address" '^pvalve_traffic_bytes_total.*platform')" "$(value "$address" '^pvalve_traffic_bytes_total.*sessions')"
	done
}
measure >"$bin/before"
sleep "$seconds"
measure >"$bin/after"
echo "agents=$agents entries=$entries tasks=$tasks seconds=$seconds"
paste -d' ' "$bin/before" "$bin/after" | awk -v t="$seconds" '
{ cpu = ($9 - $3) / t * 100; mem = $10 / 1e6; plat = ($11 - $5) / t / 1000; sess = ($12 - $6) / t / 1000
  n[$1]++; c[$1] += cpu; if (cpu > mc[$1]) mc[$1] = cpu; if (mem > mm[$1]) mm[$1] = mem
  p[$1] += plat; if (plat > mp[$1]) mp[$1] = plat; s[$1] += sess; if (sess > ms[$1]) ms[$1] = sess }
END { for (r in n) printf "%s: cpu mean %.2f%% most %.2f%% of a core; memory most %.0f MB; platform mean %.2f most %.2f KB/s; sessions mean %.2f most %.2f KB/s\n",
  r, c[r]/n[r], mc[r], mm[r], p[r]/n[r], mp[r], s[r]/n[r], ms[r] }'
