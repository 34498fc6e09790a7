# Functions to start and stop a whole local system on loopback addresses: the platform's
# stand-ins, 50 workers in three availability zones, and entry nodes. Sourced by other scripts.
# Needs: bin (directory of the programs), work (directory for logs and traces).

kv_address=127.0.0.1:18500
vmlist_address=127.0.0.1:18600
region=${region:-local}
declare -A pids

# Starts a program in the background and keeps its process id under the given name.
launch() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

# Ends one program by its process id and waits for it. Usage: finish NAME [SIGNAL]
finish() {
  local pid=${pids[$1]:-}
  [ -n "$pid" ] || return 0
  kill "-${2:-TERM}" "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
  unset "pids[$1]"
}

finish_all() {
  for name in "${!pids[@]}"; do
    kill -KILL "${pids[$name]}" 2>/dev/null || true
    wait "${pids[$name]}" 2>/dev/null || true
  done
  pids=()
}

# Waits until a command succeeds, for at most a minute. Usage: await DESCRIPTION COMMAND...
await() {
  local what=$1
  shift
  for _ in $(seq 600); do
    if "$@" >/dev/null 2>&1; then
      return 0
    fi
    sleep 0.1
  done
  echo "gave up waiting: $what" >&2
  return 1
}

node_port() { echo $((18000 + $1)); }
peer_port() { echo $((18100 + $1)); }
admin_port() { echo $((18200 + $1)); }

# Writes the VM list: COUNT entry nodes and the workers of the three zones.
write_vm_list() {
  local count=$1 separator=
  {
    echo '['
    for i in $(seq "$count"); do
      printf '%s{"targets":["127.0.0.1:%d"],"labels":{"role":"entry","state":"live","zone":"%s","region":"%s","node":"n%d"}}\n' \
        "$separator" "$(peer_port "$i")" "${zones[$(((i - 1) % 3))]}" "$region" "$i"
      separator=,
    done
    for z in 0 1 2; do
      for w in $(seq 0 $((zone_workers[z] - 1))); do
        printf ',{"targets":["127.0.0.1:%d"],"labels":{"role":"worker","state":"live","zone":"%s","region":"%s"}}\n' \
          $((19000 + z * 100 + w)) "${zones[$z]}" "$region"
      done
    done
    echo ']'
  } >"$work/vms.json"
}

# Starts the platform's stand-ins and the workers.
start_platform() {
  launch kv "$bin/lovagerock-kv" --listen "$kv_address" --writes-per-second 400 --reads-per-second 2000
  launch vmlist "$bin/lovagerock-vmlist" --listen "$vmlist_address" --file "$work/vms.json" --lag-ms 2000
  for z in 0 1 2; do
    launch "workers-${zones[$z]}" "$bin/lovagerock-worker" --listen "127.0.0.1:$((19000 + z * 100))" \
      --count "${zone_workers[$z]}" --zone "${zones[$z]}" --region "$region" \
      --cores "${worker_cores:-130}" --memory-mb "${worker_memory:-262144}" \
      --trace "$work/workers-${zones[$z]}.jsonl"
  done
}

# Starts entry node number N.
start_node() {
  launch "node-$1" "$bin/lovagerock-node" --node-id "n$1" --region "$region" \
    --zone "${zones[$((($1 - 1) % 3))]}" --listen "127.0.0.1:$(node_port "$1")" \
    --peer-listen "127.0.0.1:$(peer_port "$1")" --admin-listen "127.0.0.1:$(admin_port "$1")" \
    --kv "$kv_address" --vm-list "$vmlist_address"
}

# The operators' command line against the node with the given number.
operator() {
  local node=$1
  shift
  "$bin/lovagerock" --admin "127.0.0.1:$(admin_port "$node")" "$@"
}
