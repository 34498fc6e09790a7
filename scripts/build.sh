#!/usr/bin/env bash
# Configures and builds. Usage: scripts/build.sh [build directory] [CMake options...]
set -euo pipefail
cd "$(dirname "$0")/.."
directory=${1:-build}
shift || true
cmake -G Ninja -S . -B "$directory" "$@" >/dev/null
ninja -C "$directory" --quiet
