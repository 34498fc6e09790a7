#!/usr/bin/env bash
# Installs what is missing, builds, starts a whole system on loopback addresses with the platform's
# stand-ins, and runs the main job: apply a configuration, serve two services, run an 8-task and a
# 64-task gang, reclaim a guaranteed shape from a borrower, stop one node gracefully and kill one
# under load. Prints what happened and fails if an answer was lost, wrong or doubled.
#
# Usage: scripts/demo.sh [saryarka|zarqa]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-saryarka}
scripts/install-deps.sh
scripts/build.sh build
bin=$PWD/build/bin
work=$(mktemp -d)
nodes=6

case $deployment in
  saryarka)
    region=central-kazakhstan
    zones=(karaganda astana temirtau)
    worker_cores=130 worker_memory=262144
    service=condition caller=intake
    once_service=photo-enhancement once_caller=listing-photos
    owner=battery-assessment borrower=screen-scan
    ;;
  zarqa)
    region=amman
    zones=(zarqa-east rusaifa amman-sweileh)
    worker_cores=64 worker_memory=131072
    service=assessment caller=theory-marking
    once_service=certificate once_caller=certificates
    owner=practical-scoring borrower=drill-review
    ;;
  *)
    echo "usage: $0 [saryarka|zarqa]" >&2
    exit 2
    ;;
esac
zone_workers=(18 16 16)

source scripts/local-system.sh
trap 'finish_all; [ -n "${keep:-}" ] || rm -rf "$work"' EXIT

step() { printf '\n== %s\n' "$*"; }
targets() { for i in "$@"; do printf -- '--target 127.0.0.1:%d ' "$(node_port "$i")"; done; }
all_targets=$(targets $(seq $nodes))

# Runs the load tool against all nodes. Usage: load NAME ACCOUNT SUBCOMMAND OPTIONS...
load() {
  local name=$1 account=$2
  shift 2
  # shellcheck disable=SC2086
  "$bin/lovagerock-load" $all_targets --token "example-token-$account" \
    --trace-log "$work/client-$name.jsonl" "$@"
}

step "start: $nodes entry nodes, 50 workers in 3 availability zones ($deployment)"
write_vm_list "$nodes"
start_platform
for i in $(seq $nodes); do start_node "$i"; done
await "operators' API" operator 1 show nodes

step "apply examples/$deployment.yaml"
operator 1 apply --operator demo "examples/$deployment.yaml"
await "node ready" "$bin/lovagerock" --admin "127.0.0.1:$(admin_port $nodes)" show workers
operator 2 show nodes
has_replicas() { operator 1 show placements | grep -q "$once_service.*running"; }
await "service replicas" has_replicas

step "requests to $service, and non-idempotent ones to $once_service"
load first "$caller" requests --service "$service" --count 2000 --connections 8 --run-ms 2
load once "$once_caller" requests --service "$once_service" --count 200 --connections 4 --run-ms 2 \
  --non-idempotent-percent 100

step "gangs of 8 and 64 tasks"
load gang8 "$owner" jobs --count 1 --tasks 8 --adjacency rack --run-ms 300
load gang64 "$owner" jobs --count 1 --tasks 64 --adjacency rack --run-ms 300

step "$borrower borrows what is idle; $owner reclaims its guaranteed shape with an urgent gang"
load borrowed "$borrower" jobs --count 40 --tasks 8 --adjacency zone --run-ms 6000 >"$work/borrowed.txt" &
borrow_pid=$!
borrowed_runs() { [ "$(operator 1 show placements | grep -c "$borrower.*running")" -ge 300 ]; }
await "borrowed work" borrowed_runs
load reclaim "$owner" jobs --count 1 --tasks 64 --adjacency rack --urgent --run-ms 300
wait "$borrow_pid"
cat "$work/borrowed.txt"
echo "reclaimed borrowers:"
grep -ho 'event=reclaim .*' "$work"/node-*.log

step "stop node 2 gracefully and kill node 3 under load"
load faults "$caller" requests --service "$service" --count 6000 --connections 16 --run-ms 5 &
load_pid=$!
load faults-once "$once_caller" requests --service "$once_service" --count 400 --connections 4 \
  --run-ms 10 --non-idempotent-percent 100 >"$work/faults-once.txt" &
once_pid=$!
sleep 0.5
kill -TERM "${pids[node-2]}"
sleep 0.5
finish node-3 KILL
wait "${pids[node-2]}" && echo "node 2 ended by itself with status 0"
unset 'pids[node-2]'
wait "$load_pid"
wait "$once_pid" || once_failed=1
cat "$work/faults-once.txt"
operator 1 show nodes

step "verify the workers' traces against what the callers saw"
"$bin/lovagerock-load" verify --worker-trace "$work"/workers-*.jsonl --client-trace "$work"/client-*.jsonl
[ -z "${once_failed:-}" ]
echo "demo passed: no answer lost, wrong or doubled"
