#!/usr/bin/env bash
# Drives one entry node with a stand-in worker at 0.5, 1 and 2 times its measured capacity and back,
# in one run. One account follows this schedule; two others send a steady 5% of the capacity each.
# Checks the stated outcomes of docs/load.md and ends with status 1 if one is missed. Leaves the
# reports (JSON) and plots (SVG) in the output directory. Not part of CI, because it measures times.
#
# Usage: scripts/overload.sh [build directory] [output directory]
#
# Settings: OVERLOAD_STEP_S (length of each step; the run takes 5 steps), OVERLOAD_SLOTS and
# OVERLOAD_RUN_MS (the service's slots and run time; a run time of 0 makes the node's CPU the limit),
# OVERLOAD_DEADLINE_MS, OVERLOAD_GIVE_UP_MS (callers retry for this time; 0 is no retry),
# OVERLOAD_SENDERS (processes that send the overload), OVERLOAD_CONNECTIONS (of all of them),
# OVERLOAD_PORT (first of 7 ports), OVERLOAD_NODE (another node program, to compare with).
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${1:-build}/bin
output=${2:-$(mktemp -d)}
step=${OVERLOAD_STEP_S:-6}
slots=${OVERLOAD_SLOTS:-16}
run_ms=${OVERLOAD_RUN_MS:-20}
deadline_ms=${OVERLOAD_DEADLINE_MS:-300}
give_up_ms=${OVERLOAD_GIVE_UP_MS:-0}
senders=${OVERLOAD_SENDERS:-1}
connections=${OVERLOAD_CONNECTIONS:-440}
port=${OVERLOAD_PORT:-18700}
# Requests that could not be sent in time are sent late, which may take longer than the schedule.
limit_s=$((5 * step + 120))
node_program=${OVERLOAD_NODE:-$bin/lovagerock-node}
mkdir -p "$output"
scratch=$(mktemp -d)
processes=()

worker=127.0.0.1:$port
kv=127.0.0.1:$((port + 1))
vmlist=127.0.0.1:$((port + 2))
node=127.0.0.1:$((port + 3))
peer=127.0.0.1:$((port + 4))
admin=127.0.0.1:$((port + 5))
service=overload

stop_all() {
  for process in "${processes[@]}"; do
    kill "$process" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$scratch"
}
trap stop_all EXIT

# start ADDRESS PROGRAM ARGUMENT... starts a program and waits until it listens on the address.
start() {
  local address=$1 program=$2
  shift 2
  "$program" "$@" >"$scratch/$(basename "$program").log" 2>&1 &
  processes+=($!)
  for _ in $(seq 100); do
    if (exec 3<>"/dev/tcp/${address%:*}/${address#*:}") 2>/dev/null; then
      return 0
    fi
    sleep 0.1
  done
  echo "$program does not listen on $address:" >&2
  tail -5 "$scratch/$(basename "$program").log" >&2
  return 1
}

# load ACCOUNT ARGUMENT... runs the load tool for an account.
load() {
  local account=$1
  shift
  timeout "$limit_s" "$bin/lovagerock-load" --target "$node" --token "token-$account" --json \
    --deadline-ms "$deadline_ms" "$@" --service "$service" --run-ms "$run_ms" --answer-bytes 256
}

start "$worker" "$bin/lovagerock-worker" --listen "$worker" --worker-prefix overload \
  --region overload --zone overload --rack-prefix overload --slots "$slots" --connections 1024 \
  --trace "$scratch/worker.jsonl"
start "$kv" "$bin/lovagerock-kv" --listen "$kv"
cat >"$scratch/targets.json" <<JSON
[{"targets": ["$peer"], "labels": {"role": "entry", "node": "overload-node", "region": "overload",
  "zone": "overload", "admin": "$admin", "state": "live"}},
 {"targets": ["$worker"], "labels": {"role": "worker", "worker": "overload-worker",
  "region": "overload", "zone": "overload", "rack": "overload", "state": "live"}}]
JSON
start "$vmlist" "$bin/lovagerock-vmlist" --listen "$vmlist" --file "$scratch/targets.json"
start "$node" "$node_program" --node-id overload-node --region overload --zone overload \
  --listen "$node" --peer-listen "$peer" --admin-listen "$admin" --kv "$kv" --vm-list "$vmlist"
node_pid=${processes[-1]}
digest() { printf 'token-%s' "$1" | sha256sum | cut -d' ' -f1; }
{
  cat <<YAML
format: 1
deployment: overload
weights: {completion_time: 0.5, fragmentation: 0.5}
accounts:
YAML
  for account in heavy steady-1 steady-2; do
    printf '  - {name: %s, token_sha256: "%s", weight: 1, quota: {accelerators: 1024, slots: 1024}}\n' \
      "$account" "$(digest "$account")"
  done
  cat <<YAML
services:
  - {name: $service, account: heavy, callers: [heavy, steady-1, steady-2], slots: $slots,
     accelerators_per_slot: 0, idempotent: true, timeout_ms: 30000, queue_limit: 1000}
YAML
} >"$scratch/overload.yaml"
"$bin/lovagerock" --admin "$admin" apply "$scratch/overload.yaml" >"$scratch/apply.log"
for _ in $(seq 60); do
  if load heavy --give-up-ms 0 requests --count 1 | grep -q '"ok":1,'; then
    ready=1
    break
  fi
  sleep 0.5
done
[ -n "${ready:-}" ] || { echo "the service got no capacity" >&2; exit 1; }

# The closed loop has twice as many requests open as the service has slots, so that none idles.
deadline_ms=10000 load heavy requests --connections $((slots * 2)) --duration-ms 4000 \
  >"$output/capacity.json"
capacity=$(python3 -c 'import json, sys; print(int(json.load(sys.stdin)["requests"]["ok_per_second"]))' \
  <"$output/capacity.json")
echo "capacity $capacity requests/s: $slots slots, run time $run_ms ms, deadline $deadline_ms ms," \
  "$step s a step, retries for $give_up_ms ms"

# The steady accounts send 10% of the capacity. Prints the rate of one sender of the overload.
rate() { awk -v c="$capacity" -v f="$1" -v n="$senders" 'BEGIN { printf "%.0f", (f - 0.1) * c / n }'; }
schedule="0:$(rate 0.5),${step}s:$(rate 1),$((2 * step))s:$(rate 2),$((3 * step))s:$(rate 0.5)"
time_ms=$((5 * step * 1000))
loads=()
reports=()
# follow NAME ACCOUNT CONNECTIONS SCHEDULE starts the load of an account in the background.
follow() {
  load "$2" --give-up-ms "$give_up_ms" --trace-log "$scratch/$1.jsonl" requests \
    --connections "$3" --schedule "$4" --duration-ms "$time_ms" --interval-ms 500 \
    --plot "$output/$1.svg" >"$output/$1.json" &
  loads+=($!)
  reports+=("$output/$1.json")
}
for i in $(seq "$senders"); do
  follow "heavy-$i" heavy $((connections / senders)) "$schedule"
done
steady=$(awk -v c="$capacity" 'BEGIN { printf "%.0f", 0.05 * c }')
follow steady-1 steady-1 32 "0:$steady"
follow steady-2 steady-2 32 "0:$steady"
failed=0
for it in "${loads[@]}"; do
  wait "$it" || failed=1
done

echo "node: $(grep -E 'VmHWM' "/proc/$node_pid/status" | tr -s '\t ' ' ')," \
  "$(awk '{ printf "%.1f s of CPU", ($14 + $15) / 100 }' "/proc/$node_pid/stat")"
# Time that the loop's thread was ready to run but had no core: delays that the machine causes.
awk '{ printf "loop thread: %.1f s on a core, %.1f s ready without a core, in %d slices (%.3f ms a slice)\n",
  $1 / 1e9, $2 / 1e9, $3, $2 / 1e6 / ($3 > 0 ? $3 : 1) }' "/proc/$node_pid/task/$node_pid/schedstat"
curl -sS --max-time 5 "http://$admin/metrics" >"$output/metrics.txt" || true
scripts/overload-report.py --step "$step" "${reports[@]}" || failed=1
# Runs that the worker still has open are of requests that were answered as unknown.
"$bin/lovagerock-load" verify --open-is-stopped --worker-trace "$scratch/worker.jsonl" \
  --client-trace "$scratch"/heavy-*.jsonl "$scratch"/steady-*.jsonl >"$output/verify.txt" ||
  failed=1
grep -E 'broken|requests' "$output/verify.txt"
echo "reports and plots in $output"
exit $failed
