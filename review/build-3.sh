#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start, into target/review-3. Needs the
# packages of the deploy file alone: the test library, which the project's build looks for, isn't
# used by these targets.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target/review-3 -DCMAKE_BUILD_TYPE=Release -DCRITERION_LIBRARY=unused \
  -DCMAKE_PROJECT_lovagerock_INCLUDE="$PWD/review/tools-3/programs.cmake"
cmake --build target/review-3 -j8 --target lovagerock-platform review-slow-store
