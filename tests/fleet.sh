# Functions that start and stop a small fleet on loopback; sourced by
# tests/demo, tests/process and bench/process.  On exit each process that was
# started is ended by its process id; KEEP=1 keeps the folder of settings, logs
# and data.
BUILD=${BUILD:-build}
BIN=$PWD/$BUILD/coltsfootstage
TARGET=$PWD/$BUILD/target
PORT_BASE=${PORT_BASE:-21000}
declare -A PID
declare -A HTTP
RUN=$(mktemp -d "${TMPDIR:-/tmp}/coltsfootstage.XXXXXX")

json_field() { sed -n "s/.*\"$1\": *\"\\([^\"]*\\)\".*/\\1/p" | head -n 1; }

fleet_keys() {
  "$BIN" fleetkey > "$RUN/keys"
  CURVE=$(sed -n 's/^ *"curve": \(.*\),$/\1/p' "$RUN/keys")
  OPERATOR_KEY=$(json_field operator_key < "$RUN/keys")
  OPERATOR_HASH=$(json_field operator_key_hash < "$RUN/keys")
  ANNOUNCE_KEY=$(json_field announce_key < "$RUN/keys")
  ANNOUNCE_HASH=$(json_field announce_key_hash < "$RUN/keys")
  export COLTSFOOTSTAGE_KEY=$OPERATOR_KEY
}

# fleet_settings NAME ZONE NUMBER [control]: writes the settings of a host; with
# "control" those of a member of the control group.
fleet_settings() {
  local http=$((PORT_BASE + $3)) data=""
  HTTP[$1]=http://127.0.0.1:$http
  [ "${4:-}" = control ] && data="\"data_folder\": \"$RUN/$1.data\", \"control_port\": $((PORT_BASE + 100 + $3)),"
  cat > "$RUN/$1.json" <<JSON
{"host": "$1", "zone": "$2", "address": "127.0.0.1", "http_port": $http,
 "traffic_port": $((PORT_BASE + 200 + $3)), $data "curve": $CURVE,
 "operator_key_hash": "$OPERATOR_HASH", "announce_key_hash": "$ANNOUNCE_HASH",
 "target": {"user": "coltsfootstage", "database": "orders"},
 "control": [
  {"host": "c1", "address": "127.0.0.1", "port": $((PORT_BASE + 101))},
  {"host": "c2", "address": "127.0.0.1", "port": $((PORT_BASE + 102))},
  {"host": "c3", "address": "127.0.0.1", "port": $((PORT_BASE + 103))}]}
JSON
}

fleet_start() {
  "$BIN" serve -s "$RUN/$1.json" >> "$RUN/$1.log" 2>&1 &
  PID[$1]=$!
}

# fleet_target NAME NUMBER FLAGS...: starts a stand-in target.
fleet_target() {
  local name=$1 port=$((PORT_BASE + 300 + $2))
  shift 2
  "$TARGET" --name "$name" --port "$port" --key "$ANNOUNCE_KEY" \
    --announce $((PORT_BASE + 4)) --announce $((PORT_BASE + 5)) \
    --record "$RUN/$name.received" "$@" \
    2>> "$RUN/$name.log" &
  PID[$name]=$!
}

# fleet_group GROUP NUMBER [FLAGS...]: starts three instances numbered from
# NUMBER; the first one is the primary.
fleet_group() {
  local p=$((PORT_BASE + 300 + $2))
  fleet_target "$1-1" "$2" --group "$1" --zone a --primary --peer $((p + 1)) --peer $((p + 2)) "${@:3}"
  fleet_target "$1-2" $(($2 + 1)) --group "$1" --zone b --peer $p --peer $((p + 2)) "${@:3}"
  fleet_target "$1-3" $(($2 + 2)) --group "$1" --zone c --peer $p --peer $((p + 1)) "${@:3}"
}

# Starts three control hosts, c1 to c3, and two entry hosts, e1 and e2.
fleet_hosts() {
  fleet_keys
  local n=1 h
  for h in c1 c2 c3; do
    fleet_settings $h "$(echo abc | cut -c$n)" $n control
    "$BIN" init -s "$RUN/$h.json"
    n=$((n + 1))
  done
  fleet_settings e1 a 4
  fleet_settings e2 b 5
  for h in c1 c2 c3 e1 e2; do fleet_start $h; done
  export COLTSFOOTSTAGE_URL=${HTTP[e1]}
}

# wait_for SECONDS COMMAND...: runs the command until it succeeds; fails when it
# has not after SECONDS.
wait_for() {
  local end=$((SECONDS + $1))
  shift
  until "$@" > /dev/null 2>&1; do
    [ $SECONDS -ge $end ] && { echo "timed out: $*" >&2; return 1; }
    sleep 0.05
  done
}

host_ready() { curl -sf -m 2 "${HTTP[$1]}/readyz"; }
group_serving() { "$BIN" status | grep -q "\"resource\":\"gate/$1\"" && "$BIN" status | grep -q "\"group\":\"$1\""; }
leader_name() { "$BIN" status 2> /dev/null | sed 's/.*"leader":"\([^"]*\)".*/\1/'; }

# http_request METHOD HOST PATH [curl arguments]: prints the body of the response
# and writes its headers to $RUN/headers.
http_request() {
  local method=$1 host=$2 path=$3
  shift 3
  curl -s -m 20 -D "$RUN/headers" -X "$method" "${HTTP[$host]}$path" "$@"
}
# Session token in the headers of the last response.
session_token() { sed -n 's/^[Ss]ession: \([^\r]*\).*/\1/p' "$RUN/headers"; }

fleet_end() {
  local p
  for p in "${PID[@]}"; do
    kill -CONT "$p" 2> /dev/null
    kill -TERM "$p" 2> /dev/null
  done
  for p in "${PID[@]}"; do
    local tries=0
    while kill -0 "$p" 2> /dev/null && [ $tries -lt 100 ]; do sleep 0.05; tries=$((tries + 1)); done
    kill -KILL "$p" 2> /dev/null
    wait "$p" 2> /dev/null
  done
  [ -n "${KEEP:-}" ] || rm -rf "$RUN"
}
trap fleet_end EXIT
