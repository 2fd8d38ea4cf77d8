# Callers and operators against the real binary: keys, session tokens, sheets,
# transactions, bad input, TLS, racing operators, withdrawn keys and a planned
# stop under load.
set -u
cd "$(dirname "$0")/../.."
PORT_BASE=23000
. tests/fleet.sh
fail() { echo "FAILED: $1"; tail -n 8 "$RUN"/*.log; exit 1; }
# expect NAME PATTERN: the body of the last response must match.
expect() { grep -qE "$2" "$RUN/body" || { cat "$RUN/body"; fail "$1"; }; echo "ok $1"; }
# request METHOD HOST PATH [curl arguments]: writes the body to $RUN/body.
request() { http_request "$@" > "$RUN/body"; }

fleet_hosts
fleet_group orders 10 --slots 5 --lag-ms 20
wait_for 20 host_ready e1 || fail "e1 is not ready after 20 s"
wait_for 20 host_ready e2 || fail "e2 is not ready after 20 s"
wait_for 20 group_serving orders || fail "no host holds the gate of group orders after 20 s"
for t in weavers caterers; do "$BIN" team set $t --rate 500 --burst 300 > /dev/null || fail "team set $t exited with an error"; done
KEY=$("$BIN" key create weavers k1 | sed -n 's/^key //p')
OTHER_KEY=$("$BIN" key create caterers k2 | sed -n 's/^key //p')
"$BIN" sheet set board --group orders --team weavers --sql "SELECT count(*) FROM orders" > /dev/null
"$BIN" sheet set hall --group orders --team weavers --open --sql "SELECT count(*) FROM orders" > /dev/null
AUTH="Authorization: Bearer $KEY" OTHER_AUTH="Authorization: Bearer $OTHER_KEY"
STATEMENTS=/v1/groups/orders/statements
READ_BODY='{"sql":"SELECT count(*) FROM orders","mode":"read"}'
# order_statement ID: body of a request that inserts the order ID.
order_statement() { echo "{\"sql\":\"INSERT INTO orders (id, team, item, qty) VALUES (\$1, \$2, \$3, \$4)\",\"params\":[\"$1\",\"w\",\"i\",1]}"; }

# Read-your-writes on any host; session tokens of another team and altered ones.
request POST e1 $STATEMENTS -H "$AUTH" -H "Idempotency-Key: o1" -d "$(order_statement o1)"
expect "insert of an order" '"outcome":"done"'
TOKEN=$(session_token)
for i in 1 2 3 4 5 6; do
  request POST e2 $STATEMENTS -H "$AUTH" -H "Session: $TOKEN" -d "$READ_BODY"
  grep -q '"1"' "$RUN/body" || fail "read $i on e2 does not see the write of its session"
done
echo "ok read-your-writes on the other host"
request POST e2 $STATEMENTS -H "$OTHER_AUTH" -H "Session: $TOKEN" -d "$READ_BODY"
expect "session token of another team is refused" '"code":"forbidden","outcome":"not_run"'
request POST e2 $STATEMENTS -H "$AUTH" -H "Session: x$TOKEN" -d "$READ_BODY"
expect "altered session token is refused" '"code":"bad_request","outcome":"not_run"'
request POST e1 $STATEMENTS -H "$AUTH" -H "Idempotency-Key: o1" -d "$(order_statement o2)"
expect "idempotency key reused for another statement is refused" 'idempotency_key_reused'
request POST e1 $STATEMENTS -H "$AUTH" -d '{"sql":"INSERT INTO orders (id, team, item, qty) VALUES ($1, $2, $3, $4)","params":["o9","w","i",1],"mode":"read"}'
expect "write declared as a read fails" '"code":"sql_error","outcome":"not_run"'
request POST e1 $STATEMENTS -H "$AUTH" -d '{"sql":"SET ROLE admin"}'
expect "statement that changes session state is refused" '"code":"bad_request"'

request POST e1 /v1/groups/nowhere/statements -H "$AUTH" -d '{"sql":"SELECT 1","mode":"read","deadline_ms":300}'
expect "statement for an unknown group is refused" '"code":"no_target","outcome":"not_run"'

# Sheets (stored queries): only the owner may read them, or everybody when open.
request GET e2 /v1/sheets/board -H "$OTHER_AUTH"
expect "sheet of another team is refused" '"code":"forbidden"'
request GET e2 /v1/sheets/board
expect "sheet without a key is refused" '"code":"unauthenticated"'
request GET e2 /v1/sheets/hall
expect "open sheet is served without a key" '"outcome":"done"'

# A transaction is reached through any host, by the team that began it only.
request POST e1 /v1/groups/orders/transactions -H "$AUTH"
expect "transaction begins" '"transaction":"'
TRANSACTION=/v1/groups/orders/transactions/$(sed 's/.*"transaction":"\([^"]*\)".*/\1/' "$RUN/body")
request POST e2 "$TRANSACTION/statements" -H "$OTHER_AUTH" -d "$(order_statement tx1)"
expect "transaction of another team is refused" 'transaction_lost'
request POST e2 "$TRANSACTION/statements" -H "$AUTH" -d "$(order_statement tx1)"
expect "statement of a transaction through the other host" '"outcome":"done"'
request POST e1 "$TRANSACTION/commit" -H "$AUTH"
expect "transaction commits" '"outcome":"done"'
request POST e1 "$TRANSACTION/commit" -H "$AUTH"
expect "second commit is refused" 'transaction_lost'

# Bad input is refused and does not disturb other callers.
head -c 10000000 /dev/zero | tr '\0' 'a' > "$RUN/big"
request POST e1 $STATEMENTS -H "$AUTH" --data-binary "@$RUN/big"; expect "10 MB body is refused" 'too large'
request POST e1 $STATEMENTS -H "$AUTH" -d '{"sql":'; expect "truncated JSON is refused" 'bad_request'
printf '{"sql":"SELECT \xff"}' > "$RUN/bad"
request POST e1 $STATEMENTS -H "$AUTH" --data-binary "@$RUN/bad"; expect "invalid UTF-8 is refused" 'bad_request'
[ "$(http_request PUT e1 $STATEMENTS -H "$AUTH" -o /dev/null -w '%{http_code}')" = 405 ] || fail "PUT on a path for POST is not answered with 405"
code=$(http_request POST e1 $STATEMENTS -H "X: $(head -c 100000 /dev/zero | tr '\0' 'a')" -o /dev/null -w '%{http_code}')
case $code in 4* | 000) echo "ok 100 kB header is refused ($code)" ;; *) fail "100 kB header was answered with $code instead of 4xx" ;; esac
exec 9<> /dev/tcp/127.0.0.1/$((PORT_BASE + 4))
printf 'POST %s HTTP/1.1\r\nContent-Le' $STATEMENTS >&9
request POST e1 $STATEMENTS -H "$AUTH" -d "$READ_BODY"; expect "other callers are served while one request is incomplete" '"outcome":"done"'
exec 9>&-

exec 9<> /dev/tcp/127.0.0.1/$((PORT_BASE + 4))
for i in $(seq 300); do printf 'GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n' >&9; done
request POST e1 $STATEMENTS -H "$AUTH" -d "$READ_BODY"; expect "other callers are served while one does not read its responses" '"outcome":"done"'
exec 9>&-

# TLS for callers, if the settings name a certificate.
openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=e3 \
  -keyout "$RUN/key.pem" -out "$RUN/cert.pem" 2> /dev/null
fleet_settings e3 c 6
sed -i "s|\"target\":|\"tls\": {\"certificate_file\": \"$RUN/cert.pem\", \"key_file\": \"$RUN/key.pem\"}, \"target\":|" "$RUN/e3.json"
HTTP[e3]=https://127.0.0.1:$((PORT_BASE + 6))
fleet_start e3
wait_for 10 curl -skf "${HTTP[e3]}/readyz" || fail "e3 is not ready after 10 s"
request POST e3 $STATEMENTS -k -H "$AUTH" -d "$READ_BODY"; expect "statement over TLS" '"outcome":"done"'

# Two operators patch the same version at the same time: one patch is accepted.
# A resent patch gets the response to the first one.
version=$("$BIN" show 2>&1 > /dev/null | sed 's/version //')
patch_as() { http_request PATCH e1 /v1/config -H "Authorization: Bearer $OPERATOR_KEY" -H "If-Match: \"$version\"" -H "Request-Id: $1" -H "Operator: $1" -d "{\"teams\":{\"$1\":{\"rate\":1,\"burst\":1}}}"; }
patch_as anna > "$RUN/anna" & P1=$!
patch_as ben > "$RUN/ben" & P2=$!
wait $P1 $P2
[ "$(cat "$RUN/anna" "$RUN/ben" | grep -o in_force | wc -l)" = 1 ] || fail "not exactly one of two racing patches was accepted"
grep -q stale "$RUN/anna" "$RUN/ben" || fail "the other patch was not refused as stale"
patch_as anna > "$RUN/body"; diff "$RUN/body" "$RUN/anna" || fail "the resent patch got a different response"
echo "ok racing patches of two operators"
for c in c1 c2 c3; do kill -9 "${PID[$c]}"; wait "${PID[$c]}" 2> /dev/null; done
for c in c1 c2 c3; do fleet_start $c; done
wait_for 15 host_ready c1 || fail "c1 is not ready 15 s after the restart"
wait_for 15 host_ready e1 || fail "e1 has no lease 15 s after the restart of the control hosts"
patch_as anna > "$RUN/body"; diff "$RUN/body" "$RUN/anna" || fail "the patch resent after the restart of all control hosts got a different response"
echo "ok patch resent after the restart of all control hosts"

# A withdrawn key is refused by all hosts, also in an open transaction; a host
# without control group serves nothing.  No key appears in logs, audit trail,
# metrics, data folders or at a target.
request POST e1 /v1/groups/orders/transactions -H "$OTHER_AUTH"
TRANSACTION=/v1/groups/orders/transactions/$(sed 's/.*"transaction":"\([^"]*\)".*/\1/' "$RUN/body")
kill -STOP "${PID[c1]}" "${PID[c2]}" "${PID[c3]}"
sleep 2
request POST e2 $STATEMENTS -H "$AUTH" -d "$READ_BODY"; expect "host without control group serves nothing" '"code":"no_lease","outcome":"not_run"'
kill -CONT "${PID[c1]}" "${PID[c2]}" "${PID[c3]}"
wait_for 10 host_ready e1 || fail "e1 has no lease 10 s after the control hosts went on"
wait_for 10 host_ready e2 || fail "e2 has no lease 10 s after the control hosts went on"
"$BIN" key withdraw caterers k2 > "$RUN/body"; expect "withdrawal is in force" '"in_force":true'
request POST e1 "$TRANSACTION/statements" -H "$OTHER_AUTH" -d "$(order_statement tx2)"; expect "withdrawn key in a transaction is refused" 'unauthenticated'
request POST e2 $STATEMENTS -H "$OTHER_AUTH" -d "$READ_BODY"; expect "withdrawn key is refused" '"code":"unauthenticated","outcome":"not_run"'
http_request GET e1 /metrics > "$RUN/metrics"
"$BIN" audit > "$RUN/audit.json"
if grep -rlE "${KEY#*.}|${OTHER_KEY#*.}|$OPERATOR_KEY" "$RUN" --include='*.log' --include='audit*' --include=metrics --include='*.data'; then fail "a key appears in a log, the audit trail, the metrics or a *.data file"; fi
grep -rlE "${KEY#*.}" "$RUN"/*.data && fail "the team's key is in a data folder"
grep -q "INSERT INTO orders" "$RUN"/*.received || fail "the bytes that the targets received were not recorded"
grep -laE "${KEY#*.}|${OTHER_KEY#*.}|$OPERATOR_KEY|Bearer" "$RUN"/*.received && fail "a target received a key"
grep -q '"who":"anna"\|"who":"ben"' "$RUN/audit.json" || fail "the audit trail names neither operator"
echo "ok no key in logs, audit trail, metrics, data folders or at targets"

# A planned stop under load: no request fails, and the host exits with status 0.
COLTSFOOTSTAGE_KEY=$KEY "$BIN" load -u "${HTTP[e2]}" -r 100 -t 4 -w 0.5 -l stop > "$RUN/stop.load" 2>&1 &
LOAD=$!
sleep 1
gate_host=$("$BIN" status | sed "s/.*\"gate\/orders\",\"host\":\"\([^\"]*\)\".*/\1/")
[ "$gate_host" = e2 ] && gate_host=e1
kill -TERM "${PID[$gate_host]}"
wait "${PID[$gate_host]}"; rc=$?
unset "PID[$gate_host]"
[ $rc = 0 ] || fail "$gate_host exited with status $rc"
wait $LOAD || { cat "$RUN/stop.load"; fail "an order was lost or stored twice during the stop"; }
[ "$(grep -c '^answers' "$RUN/stop.load")" = 1 ] && grep -q '^answers ok' "$RUN/stop.load" || { cat "$RUN/stop.load"; fail "a request failed during the stop"; }
echo "ok planned stop of $gate_host: $(tr '\n' ';' < "$RUN/stop.load")"
