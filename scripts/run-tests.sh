#!/usr/bin/env bash
# Runs all tests of a build directory except those listed in KNOWN-RED.txt, which it prints.
# Usage: scripts/run-tests.sh [build directory]
#
# KNOWN-RED.txt holds one entry per line: "program:suite/test | command | seed | seen | issue".
set -euo pipefail
cd "$(dirname "$0")/.."
directory=${1:-build}

declare -A skipped
if [ -f KNOWN-RED.txt ]; then
  while IFS='|' read -r name _; do
    name=$(echo "$name" | tr -d ' ')
    [[ -z "$name" || "$name" == \#* ]] && continue
    echo "known red, not run: $name"
    program=${name%%:*}
    skipped[$program]+="${skipped[$program]:+|}${name#*:}"
  done <KNOWN-RED.txt
fi

exclude='^$'
for program in "${!skipped[@]}"; do
  exclude+="|^${program}\$"
done
ctest --test-dir "$directory" --output-on-failure --parallel 4 -E "$exclude"
for program in "${!skipped[@]}"; do
  # As in the tests' properties, so that systems of processes aren't starved by each other.
  jobs=3
  [ "$program" = hostile ] && jobs=1
  CRITERION_JOBS=$jobs "$directory/tests/$program/test_$program" --filter "!(${skipped[$program]})"
done
