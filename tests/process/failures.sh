# The real binary under kill -9, SIGSTOP and a cut, with load running: no
# order is lost or booked twice, and writes go on.
set -u
cd "$(dirname "$0")/../.."
PORT_BASE=22000
. tests/fleet.sh
fail() { echo "FAILED: $1"; tail -n 8 "$RUN"/*.log; exit 1; }

fleet_hosts
fleet_group orders 10 --slots 5 --lag-ms 20
wait_for 20 host_ready e1 || fail "e1 is not ready"
wait_for 20 host_ready e2 || fail "e2 is not ready"
wait_for 20 group_serving orders || fail "no gate"
"$BIN" team set weavers --rate 500 --burst 300 > /dev/null || fail "team"
KEY=$("$BIN" key create weavers k1 | sed -n 's/^key //p')
[ -n "$KEY" ] || fail "key"

# load LABEL SECONDS: runs in the background, result in $RUN/LABEL.load
load() {
  COLTSFOOTSTAGE_KEY=$KEY "$BIN" load -u "${HTTP[e1]}" -u "${HTTP[e2]}" \
    -r 80 -t "$2" -w 0.5 -l "$1" > "$RUN/$1.load" 2>&1 &
  LOAD=$!
}
check_load() {
  wait $LOAD || { cat "$RUN/$1.load"; fail "$1: orders lost or doubled"; }
  grep -q ", 0 wrong" "$RUN/$1.load" || fail "$1: no verdict"
  echo "$1: $(tr '\n' ';' < "$RUN/$1.load")"
}
primary_of() { "$BIN" status | sed "s/.*\"group\":\"$1\",\"term\":[0-9]*,\"primary\":\"\([^\"]*\)\".*/\1/"; }
gate_of() { "$BIN" status | sed "s/.*\"gate\/$1\",\"host\":\"\([^\"]*\)\".*/\1/"; }

case ${1:-all} in all | primary)
  load primary-killed 5
  sleep 1.5
  old_primary=$(primary_of orders)
  kill -9 "${PID[$old_primary]}"
  wait "${PID[$old_primary]}" 2> /dev/null
  check_load primary-killed
  [ "$(primary_of orders)" != "$old_primary" ] || fail "no new primary"
  fleet_target "$old_primary" $((9 + ${old_primary#orders-})) --group orders --zone a --lag-ms 20 \
    --peer $((PORT_BASE + 310)) --peer $((PORT_BASE + 311)) --peer $((PORT_BASE + 312))
  sleep 1
esac

case ${1:-all} in all | gate)
  gate_host=$(gate_of orders)
  load gate-frozen 5
  sleep 1
  kill -STOP "${PID[$gate_host]}"
  sleep 2.5
  [ "$gate_host" = e1 ] || kill -CONT "${PID[$gate_host]}"
  kill -CONT "${PID[$gate_host]}"
  check_load gate-frozen
esac

case ${1:-all} in all | control)
  load leader-killed 5
  sleep 1
  leader=$(leader_name)
  kill -9 "${PID[$leader]}"
  wait "${PID[$leader]}" 2> /dev/null
  check_load leader-killed
  fleet_start "$leader"
  wait_for 10 host_ready "$leader" || fail "$leader did not come back"
esac

case ${1:-all} in all | gatekill)
  gate_host=$(gate_of orders)
  load gate-killed 5
  sleep 1
  kill -9 "${PID[$gate_host]}"
  wait "${PID[$gate_host]}" 2> /dev/null
  check_load gate-killed
  fleet_start "$gate_host"
  wait_for 10 host_ready "$gate_host" || fail "$gate_host did not come back"
esac

case ${1:-all} in all | rate)
  # Four times the rate through both hosts: no more than burst + rate * t.
  "$BIN" team set small --rate 50 --burst 20 > /dev/null || fail "team"
  SMALL_KEY=$("$BIN" key create small k9 | sed -n 's/^key //p')
  start_ns=$(date +%s%N)
  COLTSFOOTSTAGE_KEY=$SMALL_KEY "$BIN" load -u "${HTTP[e1]}" -u "${HTTP[e2]}" \
    -r 200 -t 4 -w 0 > "$RUN/rate.load" 2>&1
  elapsed_ms=$((($(date +%s%N) - start_ns) / 1000000))
  completed=$(sed -n 's/^sent [0-9]*, done \([0-9]*\).*/\1/p' "$RUN/rate.load")
  [ "$completed" -le $((20 + 50 * elapsed_ms / 1000)) ] || fail "$completed ran in $elapsed_ms ms"
  [ "$completed" -ge $((50 * elapsed_ms / 2000)) ] || fail "only $completed ran in $elapsed_ms ms"
  echo "rate: $completed ran in $elapsed_ms ms, allowed $((20 + 50 * elapsed_ms / 1000))"
esac

case ${1:-all} in all | disk)
  leader=$(leader_name)
  version=$("$BIN" show 2>&1 > /dev/null)
  kill -9 "${PID[$leader]}"
  wait "${PID[$leader]}" 2> /dev/null
  rm -rf "$RUN/$leader.data"
  fleet_start "$leader"
  all_voters() { "$BIN" status | grep -o '"voter":true' | wc -l | grep -qx 3; }
  wait_for 15 all_voters || fail "the lost disk was not repaired"
  [ "$("$BIN" show 2>&1 > /dev/null)" = "$version" ] || fail "the version changed"
  echo "disk lost and repaired at $version"
esac
echo "holds"
