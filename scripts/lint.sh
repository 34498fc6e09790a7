#!/usr/bin/env bash
# Checks formatting and runs the linter. Usage: scripts/lint.sh [build directory]
# The build directory must be configured, because the linter reads its compile commands.
set -euo pipefail
cd "$(dirname "$0")/.."
directory=${1:-build}
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
clang-format --dry-run --Werror "${sources[@]}"
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$')
# A file whose preprocessed inputs passed before is skipped, because the linter takes minutes.
cache=${LOVAGEROCK_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/lovagerock-lint}
mkdir -p "$cache"
export directory cache
lint_unit() {
  unit=$1
  key=$({ cat .clang-tidy "$unit"
    g++ -std=c++20 -Isrc -Itests -MM "$unit" 2>/dev/null | tr -d '\\' | tr ' ' '\n' |
      grep -E '^(src|tests)/' | sort -u | xargs cat; } | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && return 0
  clang-tidy -p "$directory" --quiet "$unit" 2>/tmp/lint.$$ || { cat /tmp/lint.$$; return 1; }
  rm -f /tmp/lint.$$
  touch "$cache/$key"
}
export -f lint_unit
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_unit {}'
