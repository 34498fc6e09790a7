# Functions of the scripts of cases 6 to 10; sourced by them. They start lovagerock-edge as the
# deploy file says and the platform of the review, on loopback addresses and free ports.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
edge_program=$root/$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/system.toml")
platform_program=$root/target/review-2/bin/case-platform
trouble=${TROUBLE:-1}
record=$PWD/record.txt
work=$(mktemp -d)
declare -A pids
: >"$record"

# Ends what was started, by its process id.
finish() {
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null
    kill -KILL "${pids[$name]}" 2>/dev/null
    wait "${pids[$name]}" 2>/dev/null
  done
  rm -rf "$work"
}
trap finish EXIT

now_ms() { date +%s%3N; }

# Writes a line to the record, with the time.
note() { echo "$(now_ms) $*" | tee -a "$record"; }

# Ends the script because the case couldn't run.
give_up() {
  note "the case could not run: $*"
  tail -n 5 "$work"/*.log >>"$record" 2>/dev/null
  exit 2
}

[ -x "$edge_program" ] || give_up "no $edge_program"
[ -x "$platform_program" ] || give_up "no $platform_program"

# Finds a row of free ports on a loopback address. Usage: find_ports COUNT; sets ip and base.
find_ports() {
  local try port
  for try in $(seq 50); do
    ip=127.$((RANDOM % 200 + 20)).$((RANDOM % 250)).$((RANDOM % 250 + 1))
    base=$((RANDOM % 9000 + 20000))
    for port in $(seq "$base" $((base + $1 - 1))); do
      if (exec 3<>"/dev/tcp/$ip/$port") 2>/dev/null; then
        continue 2
      fi
    done
    return 0
  done
  give_up "no free ports"
}

# Makes a call and prints the status and the body. Prints nothing if there is no whole answer in
# time; the connection is closed then. Usage: call METHOD ADDRESS PATH BODY TIMEOUT_S [HEADER]
call() {
  local request
  request="$1 $3 HTTP/1.1"$'\r\n'"Host: queue.example"$'\r\n'"Content-Type: application/json"$'\r\n'
  request+="Connection: close"$'\r\n'"Content-Length: ${#4}"$'\r\n'
  [ -z "${6:-}" ] || request+="$6"$'\r\n'
  request+=$'\r\n'"$4"
  timeout "$5" bash -c 'exec 3<>"/dev/tcp/${0%:*}/${0##*:}" && printf "%s" "$1" >&3 && cat <&3' \
    "$2" "$request" 2>/dev/null | tr -d '\r' | sed -n '1s/^HTTP\/1.1 \([0-9]*\).*/\1/p;1,/^$/!p' |
    tr '\n' ' '
}

# Makes a client's call and records it. Usage: client METHOD NODE PATH BODY TIMEOUT_S; sets answer.
client() {
  note "client sends $1 $3 to edge-$2"
  answer=$(call "$1" "$(frontend "$2")" "$3" "$4" "$5" \
    "Authorization: Bearer key-1"$'\r\n'"Deadline-Ms: 3000")
  note "client has the answer: ${answer:-none}"
}

frontend() { echo "$ip:$((base + 10 * $1 + 1))"; }

# Starts the platform with WORKERS workers and NODES nodes, with the configuration of one queue.
# The first worker is of kind-a, the others of kind-b. Usage: start_system NODES WORKERS
start_system() {
  find_ports $((10 * $1 + $2 + 80))
  store=$((base + 10 * $1 + 20))
  control=$ip:$((base + 10 * $1 + 40))
  "$platform_program" --store "$ip:$store" --stores "$1" --control "$control" --workers "$2" \
    --heartbeat 1500 ${platform_options:-} >"$work/platform.log" 2>&1 &
  pids[platform]=$!
  local i
  for i in $(seq 100); do
    [ -n "$(call GET "$control" /record '' 1)" ] && break
    sleep 0.05
  done
  local route='{"name":"q","host":"queue.example","prefix":"/jobs/","service":"batch","priority":1,'
  route+='"max_attempts":3,"slack_factor":3.0,"target_latency_ms":1000}'
  call POST "$control" /put "{\"key\":\"op/config\",\"value\":{\"version\":3,\"routes\":[$route],\
\"services\":[{\"name\":\"batch\"}],\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key-1\"]}]}}" \
    2 >/dev/null
  for i in $(seq 0 $(($1 - 1))); do
    write_settings "$i"
    (cd "$root" && LOVAGEROCK_BOOT=$work/edge-$i.yaml exec "$edge_program") \
      >"$work/edge-$i.log" 2>&1 &
    pids[edge-$i]=$!
  done
  for i in $(seq 0 $(($1 - 1))); do
    await_ready "$i"
  done
}

await_ready() {
  local i
  for i in $(seq 200); do
    case $(call GET "$ip:$((base + 10 * $1 + 3))" /lovagerock/readyz '' 1) in
      200*) return 0 ;;
    esac
    sleep 0.05
  done
  give_up "edge-$1 is not ready"
}

# The settings of a node, as DEPLOY.md shows them.
write_settings() {
  cat >"$work/edge-$1.yaml" <<END
node_name: "edge-$1"
role: "edge"
machine_class: "edge"
serves: ["edge"]
ip: "$ip"
zone: "z"
region: "r"
zones: {z: "r"}
listen:
  frontend: "$(frontend "$1")"
  ready: "$ip:$((base + 10 * $1 + 3))"
internal_ports: [$((base + 10 * $1 + 6)), $((base + 10 * $1 + 9))]
seeds: []
bootstrap: true
limits: {cpu_share: 0.25, cores: 1, memory_mb: 260, file_descriptors: 4100, link_mbps: 1000.0}
discovery: "platform"
entry: "virtual_ip"
heartbeat_ms: 1500
bounds:
  contact_ms: 3000
  ack_ms: 4000
  drain_ms: 2000
  grace_s: 6
  config_apply_ms: 2000
  strict_revocation: true
  revoke_ms: 5000
  hold_max_ms: 10000
  stop_ms: 400
  gang_timeout_ms: 3000
  cancel_ms: 3000
  visible_ms: 3000
  status_s: 120
  checkpoint_s: 2
  restore_ms: 100
  fencing_enforced: true
orders: "invocation"
platform: {address: "$ip:$((store + $1))", form: "kv"}
END
}

# Prints the number of the node that leads.
leader() {
  call GET "$ip:$store" '/lovagerock/kv-key?key=leader/node' '' 2 |
    sed -n 's/.*"value":"\([^"]*\)".*/\1/p' | base64 -d 2>/dev/null |
    sed -n 's/.*"node":"edge-\([0-9]*\)".*/\1/p'
}

# Waits for a leader; sets lead.
await_leader() {
  local i
  for i in $(seq 100); do
    lead=$(leader)
    [ -n "$lead" ] && return 0
    sleep 0.05
  done
  give_up "no leader"
}

# Tells the platform what the tasks of a job take. Usage: tell_job JOB STEPS
tell_job() { call POST "$control" /job "{\"job\":\"$1\",\"steps\":$2}" 2 >/dev/null; }

# Prints what the platform has seen, a line each: time, what, task, worker, kind.
events() {
  call GET "$control" /record '' 2 | grep -o '{[^{}]*}' |
    sed 's/.*"at_ms":\([0-9]*\),"kind":"\([^"]*\)","task":"\([^"]*\)","what":"\([^"]*\)","worker":"\([^"]*\)".*/\1 \4 \3 \5 \2/'
}

# Adds what the platform has seen to the record.
keep_events() { events | sed 's/^\([0-9]*\) /\1 platform: /' >>"$record"; }
