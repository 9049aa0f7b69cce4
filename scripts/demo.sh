#!/usr/bin/env bash
# Installs the dependencies, builds, and runs the demo on loopback addresses:
# object API, targets, fabric with clients, and four instances in two failure
# domains. Instances leave and join under load. Prints a table, and fails if a
# planned change broke a flow or an order ran twice.
#
# DEMO_SECONDS (default 6) is the duration of each phase, DEMO_FLOWS (300) the
# number of long-lived flows and DEMO_ORDERS (50) the orders per second.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${DEMO_SECONDS:-6}
flows=${DEMO_FLOWS:-300}
orders=${DEMO_ORDERS:-50}
build=build/release
# Logs are kept here after the run.
run=build/demo
rm -rf "$run"
mkdir -p "$run"
declare -A pids=()

# Stops only the processes that this script started. Those still running 15 s
# after SIGTERM are killed, so that the demo always terminates.
cleanup() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for ((i = 0; i < 150; ++i)); do
    local alive=0
    for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
    [ "$alive" = 0 ] && break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
}
trap cleanup EXIT
trap 'exit 130' INT TERM

start() {
  local name=$1
  shift
  "$@" >"$run/$name.log" 2>&1 &
  pids[$name]=$!
}

figures() { python3 scripts/demo_figures.py "$@"; }

# start_instance NAME ID DOMAIN ADDRESS
start_instance() {
  start "$1" "$build/sapphired" --instance-id="$2" --domain="$3" \
    --data-address="$4" --peer-address="$4" --http-address="$4" \
    --report-address="$4" --return-path=127.0.0.2:7600 \
    --object-api=127.0.0.4:7400 --drain-time=5
}

# list_instances "ID DOMAIN ADDRESS LEAVING"...: sets the platform's instance
# list, with a lag of 0.5 s.
list_instances() {
  local entries=() id domain address leaving
  while read -r id domain address leaving; do
    entries+=("{\"id\":$id,\"domain\":$domain,\"peer\":\"$address:7000\",\"leaving\":$leaving}")
  done < <(printf '%s\n' "$@")
  local IFS=,
  figures put "http://127.0.0.4:7400/instances?lag_ms=500" "[${entries[*]}]"
}

# spray_to ADDRESS...: sets the instances to which the fabric sends packets.
spray_to() {
  local entries=() address
  for address in "$@"; do entries+=("\"$address:6081\""); done
  local IFS=,
  figures put http://127.0.0.2:7601/fabric "[${entries[*]}]"
}

ctl() { "$build/sapphirectl" "$@"; }

phase_end() {
  figures collect "$run/figures" "$1" http://127.0.0.2:7601 \
    http://127.0.0.3:7500 127.0.0.11:8080 127.0.0.12:8080 127.0.0.21:8080 \
    127.0.0.22:8080
}

scripts/install.sh
cmake --preset release >/dev/null
cmake --build --preset release --target sapphired sapphirectl standins >/dev/null

SAPPHIRED_PEER_KEY=$(od -An -N32 -tx1 /dev/urandom | tr -d ' \n')
export SAPPHIRED_PEER_KEY
export SAPPHIRECTL_INSTANCES=127.0.0.11:8080,127.0.0.12:8080,127.0.0.21:8080,127.0.0.22:8080
export SAPPHIRECTL_AUTHOR=demo
i1="1 1 127.0.0.11" i2="2 1 127.0.0.12" i3="3 2 127.0.0.21" i4="4 2 127.0.0.22"
limit=$((seconds * 8 + 120))

echo "== starting the stand-ins and three instances in two failure domains"
reports=127.0.0.11:7001,127.0.0.12:7001,127.0.0.21:7001,127.0.0.22:7001
targets=$(for n in 1 2 3 4 5; do for s in 1 2 3 4; do
  printf '127.0.1.%d:6081,' $((s * 10 + n)); done; done)
start object-api "$build/standins" object-api --listen 127.0.0.4:7400 \
  --seconds "$limit"
start target "$build/standins" target --targets "${targets%,}" \
  --report-to "$reports" --seconds "$limit"
figures wait http://127.0.0.4:7400/calls
figures wait http://127.0.0.3:7500/stats
list_instances "$i1 false" "$i2 false" "$i3 false"
sleep 1
start_instance one 1 1 127.0.0.11
start_instance two 2 1 127.0.0.12
start_instance three 3 2 127.0.0.21
for address in 127.0.0.11 127.0.0.12 127.0.0.21; do
  figures wait "http://$address:8080/healthz"
done

echo "== creating the services and their targets"
ctl domains set 1,2
figures live 3 127.0.0.11:8080 127.0.0.12:8080 127.0.0.21:8080
ctl service create board --service-id 1 --address 10.9.0.1:443
ctl service create feed --service-id 2 --address 10.9.0.2:5000
ctl service create upload --service-id 3 --address 10.9.0.3:443
ctl service create orders --service-id 4 --address 10.9.0.4:443 \
  --kind request --non-idempotent
number=0
for service in board feed upload orders; do
  number=$((number + 1))
  for n in 1 2 3 4; do
    ctl target add $service 127.0.1.$((number * 10 + n)):6081 \
      --domain $((n % 2 + 1)) >/dev/null
  done
done
ctl preset put peak --load-share 500 --slow-start-ms 2000
ctl service list
for address in 127.0.0.11 127.0.0.12 127.0.0.21; do
  figures wait "http://$address:8080/readyz"
done

echo "== load"
start load "$build/standins" load --flows "$flows" \
  --orders-per-second "$orders" --seconds "$limit" \
  --instances 127.0.0.11:6081,127.0.0.12:6081,127.0.0.21:6081
figures wait http://127.0.0.2:7601/stats
phase_end none
sleep "$seconds"
phase_end "start"
sleep "$seconds"
phase_end "no change"

echo "== adding targets"
for number in 1 2 3 4; do
  service=$(printf 'board feed upload orders' | cut -d' ' -f$number)
  ctl target add "$service" 127.0.1.$((number * 10 + 5)):6081 --domain 1
done
sleep "$seconds"
phase_end "add targets"

echo "== draining and removing targets"
ctl target drain board 127.0.1.11:6081
ctl target drain feed 127.0.1.21:6081
ctl target remove upload 127.0.1.31:6081
ctl target remove orders 127.0.1.41:6081
sleep "$seconds"
phase_end "drain, remove"

echo "== switching the preset"
ctl preset switch peak
sleep "$seconds"
phase_end "switch preset"

# A leaving instance keeps forwarding for 5 s, and the fabric stops spraying to
# it within that time. Each domain always has at least one instance.
echo "== instance 2 leaves"
list_instances "$i1 false" "$i2 true" "$i3 false"
kill -TERM "${pids[two]}"
sleep 2
spray_to 127.0.0.11 127.0.0.21
wait "${pids[two]}" || true
unset 'pids[two]'
list_instances "$i1 false" "$i3 false"
sleep "$seconds"
phase_end "instance leaves"

echo "== instance 4 joins"
start_instance four 4 2 127.0.0.22
list_instances "$i1 false" "$i3 false" "$i4 false"
figures wait http://127.0.0.22:8080/readyz
figures live 3 127.0.0.11:8080 127.0.0.21:8080 127.0.0.22:8080
spray_to 127.0.0.11 127.0.0.21 127.0.0.22
sleep "$seconds"
phase_end "instance joins"

echo "== instance 3 leaves while instance 2 joins"
list_instances "$i1 false" "$i2 false" "$i3 true" "$i4 false"
kill -TERM "${pids[three]}"
start_instance two 2 1 127.0.0.12
figures wait http://127.0.0.12:8080/readyz
figures live 3 127.0.0.11:8080 127.0.0.12:8080 127.0.0.22:8080
spray_to 127.0.0.11 127.0.0.12 127.0.0.22
wait "${pids[three]}" || true
unset 'pids[three]'
list_instances "$i1 false" "$i2 false" "$i4 false"
sleep "$seconds"
phase_end "leave and join"

figures post http://127.0.0.2:7601/finish
figures settle http://127.0.0.2:7601
phase_end "last orders"
ctl status
echo
figures table "$run/figures"
