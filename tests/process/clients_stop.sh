#!/usr/bin/env bash
# Planned stops while others wait: a statement that an instance has and one that
# was not sent at a front, an operator's order at a control host whose group has
# lost its majority.  Each gets an answer, and the processes exit with 0.  A
# control host ended by SIGABRT, a front closed the connections instead.
set -u
CORES=3
NO_LIMITS=1
declare -a orders
cd "$(dirname "$0")/../.."
. tests/clients/fleet.sh

# stop NAME: sends SIGTERM and waits; the process must exit with 0.
stop() {
  local rc
  kill -TERM "${PID[$1]}"
  wait "${PID[$1]}"
  rc=$?
  unset "PID[$1]"
  [ $rc -eq 0 ] || fail "$1 ended with $rc"
}
# expect NAME TEXT PATTERN: TEXT must match the regular expression.
expect() { [[ $2 =~ $3 ]] || { echo "$1: $2"; fail "$1"; }; echo "ok $1"; }

start_fleet 160 400 160 400
# The connection of the last request becomes idle, so that one is pooled.
sleep 0.3
open_session 3 > "$RUN/open"
query 3 a1 "WRITE bowl 1" > "$RUN/first"
grep -q COMPLETE "$RUN/first" || fail "the first write is not answered"
open_session 4 > "$RUN/open"
# The instances stand still.  The first statement is sent on a pooled
# connection, the second waits for one to be established.
kill -STOP "${PID[group]}"
printf 'QUERY a2 WRITE bowl 2\r\n' >&3
sleep 0.2
printf 'QUERY a3 WRITE bowl 3\r\n' >&4
REPLY_S=6
read_reply 3 > "$RUN/sent" &
sent=$!
read_reply 4 > "$RUN/unsent" &
unsent=$!
stop front
wait $sent $unsent
kill -CONT "${PID[group]}"
expect "a write that was sent is answered as unknown" "$(cat "$RUN/sent")" '^ERROR INDOUBT'
expect "a write that was not sent is answered as not run" "$(cat "$RUN/unsent")" '^ERROR BUSY not run'

# The two followers stand still, so that nothing commits, and orders wait at the
# leader.
leader=0
for n in 1 2 3; do
  curl -s --max-time 1 "http://127.0.0.2$n:$PORT_BASE/metrics" | grep -q '^coltsfootstage_control_leads 1' && leader=$n
done
[ $leader -gt 0 ] || fail "no control host says that it is leader"
for n in 1 2 3; do [ $n = $leader ] || kill -STOP "${PID[core$n]}"; done
for n in 1 2 3; do
  curl -s -o /dev/null -w '%{http_code}' --max-time 6 -X POST -d "$(config_document $((6 + n)))" \
    "http://127.0.0.2$leader:$PORT_BASE/v1/Config.Replace" > "$RUN/order$n" &
  orders[n]=$!
done
sleep 0.2
stop core$leader
for n in 1 2 3; do
  wait "${orders[n]}"
  expect "order $n is answered as not decided" "$(cat "$RUN/order$n")" '^503$'
done
grep -q "submitted to replace" "$RUN/core$leader.log" || fail "no order reached the leader"
