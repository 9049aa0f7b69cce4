#!/usr/bin/env bash
# Compares the CPU efficiency of sapphired with that of a minimal UDP forwarder
# on loopback: packets per second of CPU time, in alternating rounds, with one
# forwarding thread each.
# Usage: scripts/bench_forward.sh [ROUNDS] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
rounds=${1:-5}
seconds=${2:-3}
bin=build/release
services=1@10.9.0.1:443
plain=127.50.0.2:6081
instance=127.50.0.3
sink_port=16081
pids=()
work=$(mktemp -d)
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

"$bin/standins" object-api --listen 127.50.0.1:7400 >"$work/api.log" 2>&1 &
pids+=($!)
"$bin/forwarder" forward "$plain" "127.50.1.1:$sink_port" &
plain_pid=$!
pids+=("$plain_pid")
SAPPHIRED_PEER_KEY=$(printf 'a%.0s' $(seq 64)) "$bin/sapphired" \
  --instance-id 1 --domain 1 --data-address $instance \
  --peer-address $instance --report-address $instance \
  --http-address $instance --return-path 127.50.0.4:7600 \
  --object-api 127.50.0.1:7400 --drain-time 0 >"$work/sapphired.log" 2>&1 &
instance_pid=$!
pids+=("$instance_pid")

operations='{"op":"create_service","name":"bench","id":1,
  "address":"10.9.0.1:443","kind":"stream","idempotent":true}'
for i in $(seq 14); do
  operations+=',{"op":"add_target","service":"bench","domain":1,
    "tunnel":"127.50.1.'$i':'$sink_port'","max_connections":100000}'
done
curl -sf --retry 20 --retry-connrefused --retry-delay 1 -o /dev/null \
  -X POST "http://$instance:8080/v1/changes" \
  -d '{"id":"bench","author":"bench","operations":['"$operations"']}'
until curl -sf -o /dev/null "http://$instance:8080/readyz"; do sleep 0.1; done
sleep 3  # wait until the instance has joined and owns the flows

# CPU time of a process, in clock ticks.
ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
hertz=$(getconf CLK_TCK)

# Prints packets per second of CPU time.
run() {
  local pid=$1 to=$2 before after received
  before=$(ticks "$pid")
  received=$("$bin/forwarder" load "$to" "0.0.0.0:$sink_port" "$seconds" 1000 \
    "${services%@*}" "${services#*@}" | sed 's/.*received=//')
  after=$(ticks "$pid")
  awk -v n="$received" -v t=$((after - before)) -v h="$hertz" \
    'BEGIN {printf "%.0f\n", n * h / t}'
}

run "$plain_pid" "$plain" >/dev/null  # warm-up
run "$instance_pid" "$instance:6081" >/dev/null
echo "round plain sapphired ratio"
for round in $(seq "$rounds"); do
  a=$(run "$plain_pid" "$plain")
  b=$(run "$instance_pid" "$instance:6081")
  echo "$round $a $b $(awk -v a="$a" -v b="$b" 'BEGIN {printf "%.3f", b / a}')"
done | tee "$work/rounds"
awk '{a += $2; b += $3} END {printf "mean %.0f %.0f %.3f\n", a / NR, b / NR, b / a}' \
  "$work/rounds"
curl -s "http://$instance:8080/metrics" | grep -E 'packets_.*total' |
  grep -v ' 0$' | grep -v TYPE >&2 || true
