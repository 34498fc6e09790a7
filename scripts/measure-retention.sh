#!/usr/bin/env bash
# Measures a run of the sweeper at a quarter, half and the whole design size, each with a stand-in
# service of its own. Usage: scripts/measure-retention.sh [build directory] [jobs a day...]
set -euo pipefail
cd "$(dirname "$0")/.."
directory=${1:-build}
shift || true
sizes=("${@:-1550 3100 6200}")
port=18600
for jobs in ${sizes[*]}; do
  port=$((port + 1))
  "$directory/bin/lovagerock-kv" --listen "127.0.0.1:$port" --log-level error &
  service=$!
  trap 'kill "$service" 2>/dev/null || true' EXIT
  sleep 0.5
  bench=("$directory/bin/retention_bench" --server "127.0.0.1:$port" --jobs-per-day "$jobs"
    --changes-per-day $((jobs * 18000 / 6200)) --read-period-ms 0 --write-period-ms 0)
  echo "== $jobs jobs a day"
  "${bench[@]}" --part fill
  "${bench[@]}" --part list
  "${bench[@]}" --part sweep | grep -v level=
  kill "$service"
  wait "$service" 2>/dev/null || true
done
