#!/usr/bin/env bash
# An instance runs only whole statements as their caller sent them: no line ends
# in them are taken for that of a statement, no bytes are left out.
set -u
cd "$(dirname "$0")/../.."
NO_LIMITS=1
. tests/clients/fleet.sh

failed=0
# expect_not_run NAME PATTERN: no statement that matches PATTERN has run.
expect_not_run() {
  if grep -q " ran $2" "$RUN/group.log"; then
    echo "FAILED: $1: $(grep -m 1 " ran $2" "$RUN/group.log")"
    failed=1
  else
    echo "ok $1"
  fi
}

start_fleet 160 400 160 400
# Each on a session of its own, which the front may close.
for text in 'QUERY a1 WRITE bowl 1\0002\r\n' 'QUERY b1 WRITE bowl 3\nQUERY b2 WRITE mat 4\r\n'; do
  open_session 3 > "$RUN/open"
  printf "$text" >&3
  sleep 0.3
  exec 3>&- 3<&-
done
open_session 3 > "$RUN/open"
query 3 c1 "WRITE bowl 5" > "$RUN/last"
grep -q COMPLETE "$RUN/last" || fail "the write after them is not answered"
expect_not_run "statement with a NUL byte is not truncated" "a1 .*WRITE bowl 1$"
expect_not_run "statement is not split at a bare line feed" "b1 .*WRITE bowl 3$"
expect_not_run "text behind a bare line feed is no statement" "b2 "
exit $failed
