#!/usr/bin/env bash
# Runs a whole system under load while seeded random faults hit it: nodes are killed, stopped
# gracefully or frozen, the key-value service, the VM list or a zone's workers are frozen, and two
# operators apply at once. Ends with a check of the workers' traces against what the callers saw,
# and prints totals: requests, jobs, faults, violations. Not part of CI, because its length and the
# interleaving of processes vary; the seed repeats the choice of faults and their times.
#
# Usage: scripts/soak.sh [SECONDS] [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-120}
seed=${2:-$(date +%s)}
bin=${BIN:-$PWD/build/bin}
work=$(mktemp -d)
nodes=6
region=central-kazakhstan
zones=(karaganda astana temirtau)
zone_workers=(18 16 16)
echo "seed $seed, $seconds s, logs in $work"
RANDOM=$((seed % 32768))

source scripts/local-system.sh
# Frozen processes are ended as well.
trap finish_all EXIT

between() { echo $(($1 + RANDOM % ($2 - $1 + 1))); }
targets() { for i in "$@"; do printf -- '--target 127.0.0.1:%d ' "$(node_port "$i")"; done; }
all_targets=$(targets $(seq $nodes))

# Starts the load tool in the background. Usage: load NAME ACCOUNT SUBCOMMAND OPTIONS...
loads=()
load() {
  local name=$1 account=$2
  shift 2
  # shellcheck disable=SC2086
  "$bin/lovagerock-load" $all_targets --seed "$seed" --token "example-token-$account" \
    --give-up-ms 120000 --trace-log "$work/client-$name.jsonl" "$@" >"$work/load-$name.txt" 2>&1 &
  loads+=($!)
}

write_vm_list "$nodes"
start_platform
for i in $(seq $nodes); do start_node "$i"; done
await "operators' API" operator 1 show nodes
await "configuration" operator 1 apply --operator soak examples/saryarka.yaml
await "node ready" operator $nodes show workers
has_replicas() { operator 1 show placements | grep -q "photo-enhancement.*running"; }
await "service replicas" has_replicas

time_limit=$((seconds * 1000))
load requests intake requests --service condition --connections 64 --rate 200 --run-ms 20 \
  --duration-ms "$time_limit"
load once listing-photos requests --service photo-enhancement --connections 16 --rate 20 \
  --run-ms 50 --non-idempotent-percent 100 --duration-ms "$time_limit"
load gangs battery-assessment jobs --count $((seconds * 2)) --interval-ms 500 --tasks 16 \
  --adjacency rack --run-ms 1500
load once-gangs screen-scan jobs --count "$seconds" --interval-ms 1000 --tasks 8 \
  --adjacency zone --run-ms 1000 --idempotent false

# Each repair is due at a time in seconds since the start: "TIME NAME ACTION".
repairs=()
faults=0
declare -A broken

repair() {
  local name=$1 action=$2
  case $action in
    cont) kill -CONT "${pids[$name]}" ;;
    start) start_node "${name#node-}" ;;
  esac
  unset "broken[$name]"
}

repair_due() {
  local kept=() due name action
  for it in ${repairs[@]+"${repairs[@]}"}; do
    read -r due name action <<<"$it"
    if [ "$due" -le "$1" ]; then
      repair "$name" "$action"
    else
      kept+=("$it")
    fi
  done
  repairs=(${kept[@]+"${kept[@]}"})
}

# Breaks a program that is whole. Usage: break_program NOW NAME FAULT SECONDS
break_program() {
  local now=$1 name=$2 fault=$3 length=$4
  [ -z "${broken[$name]:-}" ] || return 0
  echo "$now s: $fault $name for $length s"
  broken[$name]=$fault
  faults=$((faults + 1))
  case $fault in
    freeze)
      kill -STOP "${pids[$name]}"
      repairs+=("$((now + length)) $name cont")
      ;;
    kill)
      finish "$name" KILL
      repairs+=("$((now + length)) $name start")
      ;;
    stop)
      finish "$name" TERM
      repairs+=("$((now + length)) $name start")
      ;;
  esac
}

# Two operators apply different files at once through two nodes.
race() {
  echo "$1 s: two operators apply at once"
  faults=$((faults + 1))
  local first second
  first=$(between 1 $nodes)
  second=$((first % nodes + 1))
  sed "s/completion_time: .*, fragmentation: .*}/completion_time: 0.5, fragmentation: 0.5}/" \
    examples/saryarka.yaml >"$work/other.yaml"
  operator "$first" apply --operator first "$work/other.yaml" >>"$work/operators.txt" 2>&1 &
  operator "$second" apply --operator second examples/saryarka.yaml >>"$work/operators.txt" 2>&1 &
}

inject() {
  local now=$1 node
  node=node-$(between 1 $nodes)
  # Two nodes at most are broken at a time, so that a majority of the members is left.
  local down=0
  for it in "${!broken[@]}"; do
    case $it in node-*) down=$((down + 1)) ;; esac
  done
  case $(between 1 9) in
    1 | 2) [ $down -ge 2 ] || break_program "$now" "$node" kill "$(between 1 8)" ;;
    3) [ $down -ge 2 ] || break_program "$now" "$node" stop "$(between 1 8)" ;;
    4 | 5) [ $down -ge 2 ] || break_program "$now" "$node" freeze "$(between 2 12)" ;;
    6 | 7) break_program "$now" kv freeze "$(between 1 15)" ;;
    8) break_program "$now" "workers-${zones[$(between 0 2)]}" freeze "$(between 1 8)" ;;
    9) race "$now" ;;
  esac
}

SECONDS=0
next=3
while [ $SECONDS -lt "$seconds" ]; do
  repair_due $SECONDS
  if [ $SECONDS -ge $next ]; then
    inject $SECONDS
    next=$((SECONDS + $(between 2 6)))
  fi
  sleep 0.2
done
repair_due 1000000000

violations=0
for i in "${!loads[@]}"; do
  wait "${loads[$i]}" || violations=$((violations + 1))
done
for it in "$work"/load-*.txt; do
  echo "== $(basename "$it" .txt)"
  grep -E '^  (lost|ok|refused|failed|unknown|interrupted|wrong|total|retries):' "$it" || cat "$it"
done
echo "== verify"
"$bin/lovagerock-load" verify --worker-trace "$work"/workers-*.jsonl \
  --client-trace "$work"/client-*.jsonl || violations=$((violations + 1))
operator 1 show nodes
echo "faults: $faults"
echo "load programs and checks that failed: $violations"
[ $violations -eq 0 ]
