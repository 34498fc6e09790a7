# Shell functions of the scripts of cases 11 to 15; sourced. They need bash and the basic tools only.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
EDGE=$ROOT/target/bin/lovagerock-edge
PLATFORM=$ROOT/target/review-3/bin/lovagerock-platform
SLOW_STORE=$ROOT/target/review-3/bin/review-slow-store
TROUBLE=${TROUBLE:-1}
PIDS=()
EDGE_PIDS=()

# Ends what the script has started.
cleanup() {
  local pid
  for pid in "${PIDS[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  [ -n "${DIR:-}" ] && rm -rf "$DIR"
}

# Ends the script with 2: the case couldn't run.
cannot_run() {
  note "can't run: $*"
  echo "can't run: $*" >&2
  exit 2
}

now_ms() { date +%s%3N; }

# Writes a line to the record, with the seconds since the begin.
note() {
  local ms=$(($(now_ms) - BEGIN))
  printf '%4d.%03d %s\n' $((ms / 1000)) $((ms % 1000)) "$*" >>"$RECORD"
}

# begin CASE_FOLDER: prepares the record and a temporary folder.
begin() {
  RECORD=$1/record.txt
  BEGIN=$(now_ms)
  : >"$RECORD"
  DIR=$(mktemp -d)
  trap cleanup EXIT
  trap 'exit 2' INT TERM
  [ -x "$EDGE" ] || cannot_run "no build of the deploy file"
  [ -x "$PLATFORM" ] && [ -x "$SLOW_STORE" ] || cannot_run "review/build-3.sh has not been run"
  note "disruption: $TROUBLE"
}

# is_used PORT: whether something listens on the port.
is_used() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# free_ports COUNT: prints the first of so many free ports in a row.
free_ports() {
  local first port
  for _ in 1 2 3 4 5 6 7 8 9 10; do
    first=$((12000 + RANDOM % 18000))
    for ((port = first; port < first + $1; ++port)); do
      is_used "$port" && continue 2
    done
    echo "$first"
    return
  done
  return 1
}

# call METHOD PORT PATH [BODY [HEADER]]: sets STATUS (000 without an answer) and BODY.
call() {
  local method=$1 port=$2 path=$3 body=${4:-} header=${5:-} answer fd
  STATUS=000
  BODY=
  { exec {fd}<>"/dev/tcp/127.0.0.1/$port"; } 2>/dev/null || return 0
  {
    printf '%s %s HTTP/1.1\r\nHost: batch.example\r\nConnection: close\r\n' "$method" "$path"
    [ -n "$header" ] && printf '%s\r\n' "$header"
    printf 'Content-Type: application/json\r\nContent-Length: %s\r\n\r\n%s' "${#body}" "$body"
  } >&"$fd" 2>/dev/null
  answer=$(timeout 5 cat <&"$fd" | tr -d '\r')
  exec {fd}>&-
  [ -n "$answer" ] || return 0
  STATUS=$(head -n 1 <<<"$answer" | cut -d' ' -f2)
  BODY=$(sed '1,/^$/d' <<<"$answer")
}

# await SECONDS COMMAND...: repeats the command until it succeeds; fails after the time.
await() {
  local until=$(($(now_ms) + $1 * 1000))
  shift
  until "$@"; do
    [ "$(now_ms)" -lt "$until" ] || return 1
    sleep 0.1
  done
}

# sleep_until MS: sleeps until so many milliseconds after T0.
sleep_until() {
  local left=$((T0 + $1 - $(now_ms)))
  [ "$left" -le 0 ] || sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
}

# start_platform ARGUMENT...: starts the project's stand-in for the store and the workers.
start_platform() {
  local ports
  ports=$(free_ports 12) || cannot_run "no free ports"
  STORE=$ports
  CONTROL=$((ports + 1))
  "$PLATFORM" --store "127.0.0.1:$STORE" --control "127.0.0.1:$CONTROL" "$@" \
    >"$DIR/platform.log" 2>&1 &
  PIDS+=($!)
  disown
  await 5 is_used "$CONTROL" || cannot_run "the stand-in of the platform didn't start"
}

# start_slow_store: starts the proxy that can slow the store down. The entry machines that are
# started from then on use it.
start_slow_store() {
  local port
  port=$(free_ports 1) || cannot_run "no free ports"
  "$SLOW_STORE" "$port" "$STORE" >"$DIR/slow-store.log" 2>&1 &
  PIDS+=($!)
  disown
  await 5 is_used "$port" || cannot_run "the proxy of the store didn't start"
  STORE=$port
}

# slow_store MS: the store carries calls out so much later from now on.
slow_store() {
  call POST "$STORE" /proxy/delay "{\"ms\":$1}"
  note "the store takes $1 ms more -> $STATUS"
}

# leader: prints the number of the entry machine that was elected last.
leader() {
  grep -H 'event=elected' "$DIR"/edge-*.log | sort -t' ' -k1.1 | sed 's/^[^:]*edge-\([0-9]*\).log:time=\([^ ]*\).*/\2 \1/' |
    sort | tail -n 1 | cut -d' ' -f2
}

# command PATH BODY: a command to the stand-in of the platform, which is recorded.
command_platform() {
  call POST "$CONTROL" "$1" "$2"
  note "platform $1 $2 -> $STATUS"
  [ "$STATUS" = 200 ] || cannot_run "the stand-in of the platform refused $1"
}

# write_settings NUMBER: the settings file of an entry machine, like those of a small deployment.
# Sets its ports in FRONTEND and READY.
write_settings() {
  local ports
  ports=$(free_ports 5) || cannot_run "no free ports"
  FRONTEND[$1]=$ports
  READY[$1]=$((ports + 1))
  cat >"$DIR/edge-$1.yaml" <<YAML
node_name: "edge-z-$1"
role: "edge"
machine_class: "edge"
serves: ["edge"]
ip: "127.0.0.1"
zone: "z"
region: "r"
zones: {z: "r"}
listen:
  frontend: "127.0.0.1:${FRONTEND[$1]}"
  ready: "127.0.0.1:${READY[$1]}"
  control_plane: "127.0.0.1:$((ports + 2))"
internal_ports: [$((ports + 3)), $((ports + 4))]
seeds: []
bootstrap: true
limits: {cpu_share: 0.25, cores: 1, memory_mb: 260, file_descriptors: 4100, link_mbps: 1000.0}
data_dir: null
discovery: "platform"
entry: "virtual_ip"
heartbeat_ms: 1500
bounds: {contact_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_s: 6, config_apply_ms: 2000,
         strict_revocation: true, revoke_ms: 5000, recovery_s: 12, hold_max_ms: 10000,
         stop_ms: 400, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250,
         finish_s: 14, status_s: 120, checkpoint_s: 2, restore_ms: 100}
orders: "invocation"
platform: {address: "127.0.0.1:$STORE", form: "kv", writes_per_s: 400, reads_per_s: 2000,
           history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}
YAML
}

# start_edge NUMBER: starts the program of the deploy file with its settings file.
start_edge() {
  (cd "$ROOT" && LOVAGEROCK_BOOT=$DIR/edge-$1.yaml exec target/bin/lovagerock-edge) \
    >>"$DIR/edge-$1.log" 2>&1 &
  EDGE_PIDS[$1]=$!
  PIDS+=($!)
  disown
}

is_ready() {
  call GET "${READY[$1]}" /lovagerock/readyz
  [ "$STATUS" = 200 ]
}

# start_edges COUNT: starts so many entry machines and waits until all are ready.
start_edges() {
  local i
  for ((i = 1; i <= $1; ++i)); do
    write_settings "$i"
    start_edge "$i"
  done
  for ((i = 1; i <= $1; ++i)); do
    await 10 is_ready "$i" || cannot_run "edge-z-$i isn't ready"
  done
  note "$1 entry machines are ready"
}

# The reasons of the edges' logs that help to read the record.
note_logs() {
  local i
  for i in "${!EDGE_PIDS[@]}"; do
    grep -hE "$1" "$DIR/edge-$i.log" | sed "s/^/edge-z-$i: /" >>"$RECORD"
  done
}
