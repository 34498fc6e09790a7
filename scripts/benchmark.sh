#!/usr/bin/env bash
# Measures a stand-in worker directly, through the pass-through, and through an entry node, in one
# run. Prints the maximum throughput in a closed loop and the added latency in an open loop at half
# of the pass-through's maximum, with ratios to the pass-through.
# Usage: scripts/benchmark.sh [build directory]
#
# Settings: BENCH_MS (time of each measurement), BENCH_ROUNDS (rounds, of which the median counts),
# BENCH_PORT (first of 8 ports), BENCH_BYTES (size of bodies and answers).
set -euo pipefail
cd "$(dirname "$0")/.."
directory=${1:-build-benchmark}
ms=${BENCH_MS:-3000}
rounds=${BENCH_ROUNDS:-3}
port=${BENCH_PORT:-18400}
bytes=${BENCH_BYTES:-256}
connections=(1 16 64)
bin=$directory/bin
scratch=$(mktemp -d)
processes=()

worker=127.0.0.1:$port
passthrough=127.0.0.1:$((port + 1))
kv=127.0.0.1:$((port + 2))
vmlist=127.0.0.1:$((port + 3))
node=127.0.0.1:$((port + 4))
peer=127.0.0.1:$((port + 5))
admin=127.0.0.1:$((port + 6))
service=bench
token=bench-token
lease=bench-direct

stop_all() {
  for process in "${processes[@]}"; do
    kill "$process" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$scratch"
}
trap stop_all EXIT

# start NAME ADDRESS ARGUMENT... starts a program and waits until it listens on the address.
start() {
  local name=$1 address=$2
  shift 2
  "$bin/$name" "$@" >"$scratch/$name.log" 2>&1 &
  processes+=($!)
  for _ in $(seq 100); do
    if (exec 3<>"/dev/tcp/${address%:*}/${address#*:}") 2>/dev/null; then
      return 0
    fi
    sleep 0.1
  done
  echo "$name does not listen on $address:" >&2
  tail -5 "$scratch/$name.log" >&2
  return 1
}

# request METHOD URL BODY sends a JSON body and fails on an error status.
request() {
  curl -sS --fail-with-body --max-time 10 -X "$1" "$2" -H 'Content-Type: application/json' -d "$3" \
    -o "$scratch/answer"
}

# The lease under which the direct and pass-through measurements send requests.
reserve_direct_lease() {
  local fence='"fence":{"epoch":1,"node":"bench"},"ttl_ms":3600000'
  request PUT "http://$worker/v1/leases/$lease" "{$fence,\"kind\":\"service\",\"resources\":
    {\"slots\":128,\"accelerators\":0,\"cores\":0,\"memory_mb\":0},\"reclaimable\":true,
    \"idempotent\":true,\"account\":\"bench\",\"service\":\"$service\",\"job\":\"\",\"task\":0,
    \"tasks\":1,\"attempt\":1}"
  request POST "http://$worker/v1/leases/$lease/start" "{$fence}"
}

start_node() {
  start lovagerock-kv "$kv" --listen "$kv"
  cat >"$scratch/targets.json" <<JSON
[{"targets": ["$peer"], "labels": {"role": "entry", "node": "bench-node", "region": "bench",
  "zone": "bench", "admin": "$admin", "state": "live"}},
 {"targets": ["$worker"], "labels": {"role": "worker", "worker": "bench-worker",
  "region": "bench", "zone": "bench", "rack": "bench", "state": "live"}}]
JSON
  start lovagerock-vmlist "$vmlist" --listen "$vmlist" --file "$scratch/targets.json"
  start lovagerock-node "$node" --node-id bench-node --region bench --zone bench \
    --listen "$node" --peer-listen "$peer" --admin-listen "$admin" --kv "$kv" --vm-list "$vmlist"
  cat >"$scratch/bench.yaml" <<YAML
format: 1
deployment: bench
weights: {completion_time: 0.5, fragmentation: 0.5}
accounts:
  - name: bench
    token_sha256: "$(printf %s "$token" | sha256sum | cut -d' ' -f1)"
    weight: 1
    quota: {accelerators: 1024, slots: 1024}
services:
  - {name: $service, account: bench, callers: [bench], slots: 128, accelerators_per_slot: 0,
     idempotent: true, timeout_ms: 30000, queue_limit: 1000}
YAML
  "$bin/lovagerock" --admin "$admin" apply "$scratch/bench.yaml"
  # Waits until the service has capacity.
  for _ in $(seq 60); do
    if "$bin/lovagerock-load" --target "$node" --token "$token" --give-up-ms 0 --deadline-ms 1000 \
      requests --service "$service" --count 1 | grep -q '^  ok: 1$'; then
      return 0
    fi
    sleep 0.5
  done
  echo "the service got no capacity" >&2
  return 1
}

# load VARIANT ARGUMENT... runs the load tool against one of the variants.
load() {
  local variant=$1
  shift
  local target=()
  case $variant in
    direct) target=(--target "$worker") ;;
    passthrough) target=(--target "$passthrough") ;;
    node) target=(--target "$node" --token "$token") ;;
  esac
  local arguments=(requests --service "$service" --duration-ms "$ms" --answer-bytes "$bytes")
  [ "$variant" = node ] || arguments+=(--worker-lease "$lease")
  if ! "$bin/lovagerock-load" "${target[@]}" "${arguments[@]}" "$@" >"$scratch/report"; then
    echo "faults in the measurement of $variant $*:" >&2
    cat "$scratch/report" >&2
    return 1
  fi
  if ! grep -q '^  refused: 0$' "$scratch/report" || ! grep -q '^  unknown: 0$' "$scratch/report"; then
    echo "refusals in the measurement of $variant $*:" >&2
    cat "$scratch/report" >&2
  fi
}

# field NAME prints a value of the last report.
field() {
  awk -v name="$1:" '$1 == name { print $2; exit }' "$scratch/report"
}

median() {
  sort -n | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'
}

divide() {
  awk -v a="$1" -v b="$2" 'BEGIN { if (b > 0) printf "%.3f", a / b; else printf "-" }'
}

scripts/build.sh "$directory" -DCMAKE_BUILD_TYPE=RelWithDebInfo
if [ ! -x "$bin/lovagerock-worker" ]; then
  echo "$bin/lovagerock-worker is missing" >&2
  exit 1
fi
# shellcheck disable=SC2206 # The flags are separate words.
worker_flags=(${BENCH_WORKER_FLAGS:---worker-prefix bench --region bench --zone bench
  --rack-prefix bench --slots 1024 --connections 1024})
start lovagerock-worker "$worker" --listen "$worker" "${worker_flags[@]}"
reserve_direct_lease
start lovagerock-passthrough "$passthrough" --listen "$passthrough" --target "$worker"
variants=(direct passthrough)
if [ -x "$bin/lovagerock-node" ] && [ -x "$bin/lovagerock-vmlist" ]; then
  start_node
  variants+=(node)
else
  echo "not measured: node ($bin/lovagerock-node or lovagerock-vmlist is missing)"
fi

echo "build RelWithDebInfo, $rounds rounds of $ms ms, bodies of $bytes bytes, $(nproc) cores"
echo
declare -A rate
best=0
printf '%-12s %12s %14s %16s\n' variant connections requests/s of_passthrough
for n in "${connections[@]}"; do
  for ((round = 0; round < rounds; ++round)); do
    for variant in "${variants[@]}"; do
      load "$variant" --connections "$n"
      field ok_per_second >>"$scratch/rate.$variant.$n"
    done
  done
  for variant in "${variants[@]}"; do
    rate[$variant.$n]=$(median <"$scratch/rate.$variant.$n")
  done
  for variant in "${variants[@]}"; do
    printf '%-12s %12s %14.0f %16s\n' "$variant" "$n" "${rate[$variant.$n]}" \
      "$(divide "${rate[$variant.$n]}" "${rate[passthrough.$n]}")"
  done
  best=$(awk -v a="$best" -v b="${rate[passthrough.$n]}" 'BEGIN { print (a > b ? a : b) }')
done

# Prints the latency of all variants in an open loop. Usage: open_loop RATE DESCRIPTION
open_loop() {
  local rate=$1
  echo
  echo "open loop at $rate requests/s, $2; added is over direct"
  rm -f "$scratch"/p50.* "$scratch"/p99.*
  for ((round = 0; round < rounds; ++round)); do
    for variant in "${variants[@]}"; do
      load "$variant" --rate "$rate" --connections 64
      for name in p50 p99; do
        field "$name" >>"$scratch/$name.$variant"
      done
    done
  done
  printf '%-12s %10s %10s %14s %14s %18s\n' variant p50_ms p99_ms added_p50_ms added_p99_ms \
    added_p50/baseline
  declare -gA latency
  for variant in "${variants[@]}"; do
    for name in p50 p99; do
      latency[$name.$variant]=$(median <"$scratch/$name.$variant")
    done
  done
  for variant in "${variants[@]}"; do
    printf '%-12s %10.3f %10.3f %14s %14s %18s\n' "$variant" "${latency[p50.$variant]}" \
      "${latency[p99.$variant]}" "$(added p50 "$variant")" "$(added p99 "$variant")" \
      "$(divide "$(added p50 "$variant")" "$(added p50 passthrough)")"
  done
}
added() {
  awk -v a="${latency[$1.$2]}" -v b="${latency[$1.direct]}" 'BEGIN { printf "%.3f", a - b }'
}

half_of() { awk -v a="$1" 'BEGIN { printf "%.0f", a / 2 }'; }
open_loop "$(half_of "$best")" "half of the pass-through's maximum"
if [ -n "${rate[node.16]:-}" ]; then
  open_loop "$(half_of "${rate[node.16]}")" "half of the node's rate with 16 connections"
fi
