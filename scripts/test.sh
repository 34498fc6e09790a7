#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-deps.sh
scripts/build.sh build
scripts/run-tests.sh build
