#!/usr/bin/env bash
# Builds the stand-ins of the scripts of cases 6 to 10 into target/review-2/bin. Needs only what the
# build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target/review-2 -DCMAKE_BUILD_TYPE=Release -DLOVAGEROCK_EDGE_ONLY=ON \
  -DCMAKE_PROJECT_lovagerock_INCLUDE="$PWD/review/tools-2/DeferCasePlatform.cmake" >/dev/null
cmake --build target/review-2 -j"${JOBS:-8}" --target case-platform >/dev/null
