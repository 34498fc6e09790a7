#!/usr/bin/env bash
# Fails if a name of the users' platform stands in a source file outside platform/.
set -euo pipefail
cd "$(dirname "$0")/.."
names='/lovagerock/|fencing_token|last_seen|kv-(key|range|watch|txn|lease|keep)|run-(start|stop)'
names+='|rejects_overload|anti_affinity|rack_local|checkpoint"|estimate_ms|mem_mb|has_more|as_of'
names+='|op/config|"servers/|api_keys|hold_max_ms|Expected-Instance|Deadline-Ms|LOVAGEROCK_BOOT'
if git grep -nE "$names" -- 'src/scheduler/*' 'src/control/*' 'src/kv/PrefixStore.h'; then
  echo "these names belong into platform/" >&2
  exit 1
fi
