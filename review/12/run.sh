#!/usr/bin/env bash
# The store is slow, and the leader is killed while a write waits there. The ends that the write was
# to record have been acknowledged to their worker already, so nobody knows of them any more.
# TROUBLE=0: the store isn't slow, and no machine is killed.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../tools-3/common.sh"
begin "$CASE"

# 60 times the 4 ms of an answer.
SLOW_MS=240
ENDED_JOBS=24
SPLIT_JOBS=12

# submit JOB STEPS SPEC
submit() {
  command_platform /job-submitted "{\"job\":\"$1\",\"steps\":$2}"
  call POST "${FRONTEND[1]}" "/batch/$1" "{\"spec\":\"$3\",\"steps\":$2}"
  note "client submits $1 -> $STATUS"
  [ "$STATUS" = 200 ] || cannot_run "the job isn't accepted"
}

start_platform --workers 2
start_slow_store
command_platform /configuration '{"version":1,"routes":[{"name":"batch","host":"batch.example","prefix":"/batch/","service":"batch","public":true,"priority":1,"max_attempts":2,"slack_factor":3.0,"target_latency_ms":1000}]}'
start_edges 3
sleep 2

# All tasks of worker-0 end at T0, and that of worker-1 a little later: it leaves room for the other
# halves of the split jobs.
T0=$(($(now_ms) + 7000))
submit 0000000000000001 '[{"count":1,"cpu":8000,"mem_mb":10,"estimate_ms":7000,"requirements":"worker-1"}]' \
  $((T0 + 390 - $(now_ms)))
for ((i = 1; i <= ENDED_JOBS; ++i)); do
  submit "$(printf '%016x' $((256 + i)))" \
    '[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":7000,"requirements":"worker-0"}]' $((T0 - 15 - $(now_ms)))
done
for ((i = 1; i <= SPLIT_JOBS; ++i)); do
  submit "$(printf '%016x' $((512 + i)))" \
    '[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":7000,"requirements":"worker-0"},{"count":1,"cpu":500,"mem_mb":10,"estimate_ms":20000,"requirements":"worker-1"}]' \
    "[$((T0 - 15 - $(now_ms))),20000]"
done
[ "$(now_ms)" -lt $((T0 - 1000)) ] || cannot_run "the jobs were submitted too slowly"

LEADER=$(leader)
note "edge-z-$LEADER leads"
if [ "$TROUBLE" != 0 ]; then
  sleep_until -300
  slow_store "$SLOW_MS"
  sleep_until 640
  kill -KILL "${EDGE_PIDS[$LEADER]}"
  call POST "$STORE" /proxy/lose '{}'
  note "edge-z-$LEADER is killed; writes that wait at the store: $BODY"
  sleep_until 1000
  slow_store 0
fi
sleep_until 9000

call GET "$STORE" /proxy/writes
note "writes, with the Unix time in ms: $(tr '[' '\n' <<<"$BODY" | grep -v 'leader/\|^{"writes"' | tail -n 40)"
call GET "$CONTROL" /ledger
LEDGER=$BODY
note "ledger of the workers: $LEDGER"
note_logs 'elected|jobs_loaded|unreported_runs_ended|progress_not_stored'
STARTED=$(grep -o '"0000000000000[0-9a-f]*\.0\.[01]\.0":[0-9]' <<<"$LEDGER" | wc -l)
if [ "$STARTED" -lt $((ENDED_JOBS + SPLIT_JOBS)) ]; then
  cannot_run "the tasks weren't started"
fi
if grep -q '"violations":\[\]' <<<"$LEDGER"; then
  note "held: no task started again after its end was taken note of"
  exit 0
fi
note "broken: tasks were started again after their ends were taken note of"
exit 1
