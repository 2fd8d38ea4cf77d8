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
judge() {
  wait $LOAD || { cat "$RUN/$1.load"; fail "$1: orders lost or doubled"; }
  grep -q ", 0 wrong" "$RUN/$1.load" || fail "$1: no verdict"
  echo "$1: $(tr '\n' ';' < "$RUN/$1.load")"
}
primary_of() { "$BIN" status | sed "s/.*\"group\":\"$1\",\"term\":[0-9]*,\"primary\":\"\([^\"]*\)\".*/\1/"; }
gate_of() { "$BIN" status | sed "s/.*\"gate\/$1\",\"host\":\"\([^\"]*\)\".*/\1/"; }

case ${1:-all} in all | primary)
  load primary-killed 5
  sleep 1.5
  p=$(primary_of orders)
  kill -9 "${PID[$p]}"
  wait "${PID[$p]}" 2> /dev/null
  judge primary-killed
  [ "$(primary_of orders)" != "$p" ] || fail "no new primary"
  fleet_target "$p" $((9 + ${p#orders-})) --group orders --zone a --lag-ms 20 \
    --peer $((PORT_BASE + 310)) --peer $((PORT_BASE + 311)) --peer $((PORT_BASE + 312))
  sleep 1
esac

case ${1:-all} in all | gate)
  g=$(gate_of orders)
  load gate-frozen 5
  sleep 1
  kill -STOP "${PID[$g]}"
  sleep 2.5
  [ "$g" = e1 ] || kill -CONT "${PID[$g]}"
  kill -CONT "${PID[$g]}"
  judge gate-frozen
esac

case ${1:-all} in all | control)
  load leader-killed 5
  sleep 1
  l=$(leader_name)
  kill -9 "${PID[$l]}"
  wait "${PID[$l]}" 2> /dev/null
  judge leader-killed
  fleet_start "$l"
  wait_for 10 host_ready "$l" || fail "$l did not come back"
esac

case ${1:-all} in all | gatekill)
  g=$(gate_of orders)
  load gate-killed 5
  sleep 1
  kill -9 "${PID[$g]}"
  wait "${PID[$g]}" 2> /dev/null
  judge gate-killed
  fleet_start "$g"
  wait_for 10 host_ready "$g" || fail "$g did not come back"
esac

case ${1:-all} in all | rate)
  # Four times the rate through both hosts: no more than burst + rate * t.
  "$BIN" team set small --rate 50 --burst 20 > /dev/null || fail "team"
  SMALL=$("$BIN" key create small k9 | sed -n 's/^key //p')
  from=$(date +%s%N)
  COLTSFOOTSTAGE_KEY=$SMALL "$BIN" load -u "${HTTP[e1]}" -u "${HTTP[e2]}" \
    -r 200 -t 4 -w 0 > "$RUN/rate.load" 2>&1
  ms=$((($(date +%s%N) - from) / 1000000))
  ran=$(sed -n 's/^sent [0-9]*, done \([0-9]*\).*/\1/p' "$RUN/rate.load")
  [ "$ran" -le $((20 + 50 * ms / 1000)) ] || fail "$ran ran in $ms ms"
  [ "$ran" -ge $((50 * ms / 2000)) ] || fail "only $ran ran in $ms ms"
  echo "rate: $ran ran in $ms ms, allowed $((20 + 50 * ms / 1000))"
esac

case ${1:-all} in all | disk)
  l=$(leader_name)
  v=$("$BIN" show 2>&1 > /dev/null)
  kill -9 "${PID[$l]}"
  wait "${PID[$l]}" 2> /dev/null
  rm -rf "$RUN/$l.data"
  fleet_start "$l"
  whole() { "$BIN" status | grep -o '"voter":true' | wc -l | grep -qx 3; }
  wait_for 15 whole || fail "the lost disk was not repaired"
  [ "$("$BIN" show 2>&1 > /dev/null)" = "$v" ] || fail "the version changed"
  echo "disk lost and repaired at $v"
esac
echo "holds"
