#!/usr/bin/env bash
# Runs a small fleet on this machine: a platform stand-in, backend servers of
# two services in three failure domains with a daemon beside each, calls, a
# change of a selector, and a graceful stop. Usage: ./demo.sh [HOSTS]
set -euo pipefail
cd "$(dirname "$0")"

hosts="${1:-6}"
first_port="${DEMO_FIRST_PORT:-20000}"
platform="127.0.0.1:$first_port"
control="127.0.0.1:$((first_port + 1))"
work="$(mktemp -d)"
pids=()

# stop_all ends the processes that this script has started, by their ids.
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND... runs a program in the background with a log of its own.
start() {
  local name="$1"
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=("$!")
}

# publish FOLDER writes parts, then the manifest, as an operator's tool does.
publish() {
  local part
  for part in "$1"/marjoramsaddle/parts/*; do
    curl -fsS -X PUT --data-binary "@$part" "http://$platform/v1/kv/marjoramsaddle/parts/$(basename "$part")" >/dev/null
  done
  curl -fsS -X PUT --data-binary "@$1/marjoramsaddle/manifest" "http://$platform/v1/kv/marjoramsaddle/manifest" >/dev/null
}

# version prints the platform's index of the manifest.
version() {
  curl -fsS "http://$platform/v1/kv/marjoramsaddle/manifest" | sed 's/.*"ModifyIndex": *\([0-9]*\).*/\1/'
}

# documents QUEUE_MS prints the configuration of the demonstration.
documents() {
  cat <<JSON
[
 {"kind":"service","name":"counter","labels":{"team":"shop"},"slots":20,"connections":130},
 {"kind":"service","name":"depot","labels":{"team":"store"},"slots":20,"connections":130},
$(awk -F'\t' '{printf " {\"kind\":\"proxy\",\"name\":\"%s\",\"labels\":{\"failure_domain\":\"%s\",\"service\":\"%s\"}},\n", $1, $2, $3}' "$work/fleet/hosts.tsv")
 {"kind":"configuration","name":"routes","routes":[
  {"name":"orders","path_prefix":"/orders","methods":["POST"],"service":"counter","timeout_ms":3000,"class":"order"},
  {"name":"stock","path_prefix":"/stock","methods":["GET"],"service":"counter","timeout_ms":2000,"class":"lookup","idempotent":true},
  {"name":"files","path_prefix":"/files","methods":["GET"],"service":"depot","timeout_ms":60000,"class":"lookup","idempotent":true}]},
 {"kind":"configuration","name":"quick-queue","priority":10,
  "proxy_selector":{"match_labels":{"failure_domain":"$1"}},
  "service_selector":{"match_labels":{"team":"shop"}},"limits":{"queue_ms":50}}
]
JSON
}

echo "demo: building"
mkdir -p bin
go build -o bin/ ./cmd/...
echo "demo: laying out $hosts hosts"
bin/marjoramsaddle-bench layout --out "$work/fleet" --platform "http://$platform" --daemons "$hosts" --first-port "$((first_port + 10))"

echo "demo: starting the platform stand-in, the backend servers and their daemons"
start platform bin/standin-platform --listen "$platform" --control "$control"
while IFS=$'\t' read -r name _ _ _ _ backend backend_control slots connections; do
  start "$name-backend" bin/standin-backend --name "$name" --listen "$backend" --control "$backend_control" --slots "$slots" --connections "$connections" --drain-notice 100ms
  start "$name" bin/marjoramsaddled run --settings "$work/fleet/$name/settings.json"
done <"$work/fleet/hosts.tsv"
read -r _ _ _ caller operator _ <"$work/fleet/hosts.tsv"
for _ in $(seq 100); do
  curl -fsS "http://$platform/v1/kv/none" -o /dev/null 2>/dev/null || [ $? -eq 22 ] && break
  sleep 0.1
done

echo "demo: checking and publishing a configuration"
documents reduit >"$work/first.json"
bin/marjoramsaddle check "$work/first.json"
bin/marjoramsaddle build --out "$work/first" "$work/first.json" >/dev/null
publish "$work/first"
bin/marjoramsaddle status --address "$operator" --wait-for "$(version)" --until-deadline 9s

echo "demo: calls through one daemon"
curl -fsS "http://$caller/stock/roofing-nails" && echo
curl -fsS -X POST --data '{"item":"roofing nails"}' "http://$caller/orders" && echo
curl -fsS "http://$caller/files/1000000" | wc -c
curl -sS -i "http://$caller/unknown" | grep -i -e '^HTTP' -e '^Marjoramsaddle'

echo "demo: changing the selector of quick-queue from reduit to ebene"
documents ebene >"$work/second.json"
bin/marjoramsaddle build --out "$work/second" "$work/second.json" >/dev/null
publish "$work/second"
bin/marjoramsaddle status --address "$operator" --wait-for "$(version)" --until-deadline 9s

echo "demo: stopping the daemons gracefully"
for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
for pid in "${pids[@]}"; do wait "$pid" || { echo "demo: process $pid failed" >&2; tail -n 5 "$work"/*.log >&2; exit 1; }; done
pids=()
echo "demo: done"
