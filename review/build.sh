#!/bin/sh
# The stand-ins of the cases are Python programs without dependencies, so there is nothing to compile.
# Checks that they can be run.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || { echo "python3 is missing" >&2; exit 2; }
for file in lib/*.py [1-9]/*.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file" || exit 2
done
