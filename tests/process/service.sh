# Callers and operators against the real binary: keys, sessions, teams, bad
# input, racing operators, a planned stop under load.
set -u
cd "$(dirname "$0")/../.."
PORT_BASE=23000
. tests/fleet.sh
fail() { echo "FAILED: $1"; tail -n 8 "$RUN"/*.log; exit 1; }
# expect NAME PATTERN: the last body must match.
expect() { grep -qE "$2" "$RUN/body" || { cat "$RUN/body"; fail "$1"; }; echo "ok $1"; }
request() { http_request "$@" > "$RUN/body"; }

fleet_hosts
fleet_group orders 10 --slots 5 --lag-ms 20
wait_for 20 host_ready e1 || fail "e1 is not ready"
wait_for 20 host_ready e2 || fail "e2 is not ready"
wait_for 20 group_serving orders || fail "no gate"
for t in weavers caterers; do "$BIN" team set $t --rate 500 --burst 300 > /dev/null || fail team; done
KEY=$("$BIN" key create weavers k1 | sed -n 's/^key //p')
OTHER_KEY=$("$BIN" key create caterers k2 | sed -n 's/^key //p')
"$BIN" sheet set board --group orders --team weavers --sql "SELECT count(*) FROM orders" > /dev/null
"$BIN" sheet set hall --group orders --team weavers --open --sql "SELECT count(*) FROM orders" > /dev/null
AUTH="Authorization: Bearer $KEY" OTHER_AUTH="Authorization: Bearer $OTHER_KEY"
STATEMENTS=/v1/groups/orders/statements
READ_BODY='{"sql":"SELECT count(*) FROM orders","mode":"read"}'
order_statement() { echo "{\"sql\":\"INSERT INTO orders (id, team, item, qty) VALUES (\$1, \$2, \$3, \$4)\",\"params\":[\"$1\",\"w\",\"i\",1]}"; }

# Read-your-writes on any host; tokens of another team and altered ones.
request POST e1 $STATEMENTS -H "$AUTH" -H "Idempotency-Key: o1" -d "$(order_statement o1)"
expect "books" '"outcome":"done"'
TOKEN=$(session_token)
for i in 1 2 3 4 5 6; do
  request POST e2 $STATEMENTS -H "$AUTH" -H "Session: $TOKEN" -d "$READ_BODY"
  grep -q '"1"' "$RUN/body" || fail "a session does not read its own write"
done
echo "ok reads its own write on the other host"
request POST e2 $STATEMENTS -H "$OTHER_AUTH" -H "Session: $TOKEN" -d "$READ_BODY"
expect "token of another team" '"code":"forbidden","outcome":"not_run"'
request POST e2 $STATEMENTS -H "$AUTH" -H "Session: x$TOKEN" -d "$READ_BODY"
expect "altered token" '"code":"bad_request","outcome":"not_run"'
request POST e1 $STATEMENTS -H "$AUTH" -H "Idempotency-Key: o1" -d "$(order_statement o2)"
expect "key reused for another statement" 'idempotency_key_reused'
request POST e1 $STATEMENTS -H "$AUTH" -d '{"sql":"INSERT INTO orders (id, team, item, qty) VALUES ($1, $2, $3, $4)","params":["o9","w","i",1],"mode":"read"}'
expect "a write declared as a read fails" '"code":"sql_error","outcome":"not_run"'
request POST e1 $STATEMENTS -H "$AUTH" -d '{"sql":"SET ROLE admin"}'
expect "session statements are refused" '"code":"bad_request"'

request POST e1 /v1/groups/nowhere/statements -H "$AUTH" -d '{"sql":"SELECT 1","mode":"read","deadline_ms":300}'
expect "group that nobody knows" '"code":"no_target","outcome":"not_run"'

# Sheets: only the owner, or all when open.
request GET e2 /v1/sheets/board -H "$OTHER_AUTH"
expect "sheet of another team" '"code":"forbidden"'
request GET e2 /v1/sheets/board
expect "sheet without a key" '"code":"unauthenticated"'
request GET e2 /v1/sheets/hall
expect "open sheet without a key" '"outcome":"done"'

# Transactions work from any host, for their own team only.
request POST e1 /v1/groups/orders/transactions -H "$AUTH"
expect "begins" '"transaction":"'
TRANSACTION=/v1/groups/orders/transactions/$(sed 's/.*"transaction":"\([^"]*\)".*/\1/' "$RUN/body")
request POST e2 "$TRANSACTION/statements" -H "$OTHER_AUTH" -d "$(order_statement tx1)"
expect "transaction of another team" 'transaction_lost'
request POST e2 "$TRANSACTION/statements" -H "$AUTH" -d "$(order_statement tx1)"
expect "statement from the other host" '"outcome":"done"'
request POST e1 "$TRANSACTION/commit" -H "$AUTH"
expect "commits" '"outcome":"done"'
request POST e1 "$TRANSACTION/commit" -H "$AUTH"
expect "commits only once" 'transaction_lost'

# Bad input hurts nobody else.
head -c 10000000 /dev/zero | tr '\0' 'a' > "$RUN/big"
request POST e1 $STATEMENTS -H "$AUTH" --data-binary "@$RUN/big"; expect "10 MB body" 'too large'
request POST e1 $STATEMENTS -H "$AUTH" -d '{"sql":'; expect "broken JSON" 'bad_request'
printf '{"sql":"SELECT \xff"}' > "$RUN/bad"
request POST e1 $STATEMENTS -H "$AUTH" --data-binary "@$RUN/bad"; expect "bad UTF-8" 'bad_request'
[ "$(http_request PUT e1 $STATEMENTS -H "$AUTH" -o /dev/null -w '%{http_code}')" = 405 ] || fail "wrong method"
code=$(http_request POST e1 $STATEMENTS -H "X: $(head -c 100000 /dev/zero | tr '\0' 'a')" -o /dev/null -w '%{http_code}')
case $code in 4* | 000) echo "ok 100 kB header ($code)" ;; *) fail "100 kB header: $code" ;; esac
exec 9<> /dev/tcp/127.0.0.1/$((PORT_BASE + 4))
printf 'POST %s HTTP/1.1\r\nContent-Le' $STATEMENTS >&9
request POST e1 $STATEMENTS -H "$AUTH" -d "$READ_BODY"; expect "others are served beside half a request" '"outcome":"done"'
exec 9>&-

exec 9<> /dev/tcp/127.0.0.1/$((PORT_BASE + 4))
for i in $(seq 300); do printf 'GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n' >&9; done
request POST e1 $STATEMENTS -H "$AUTH" -d "$READ_BODY"; expect "others are served beside a caller that reads nothing" '"outcome":"done"'
exec 9>&-

# TLS towards callers, when the settings name a certificate.
openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=e3 \
  -keyout "$RUN/key.pem" -out "$RUN/cert.pem" 2> /dev/null
fleet_settings e3 c 6
sed -i "s|\"target\":|\"tls\": {\"certificate_file\": \"$RUN/cert.pem\", \"key_file\": \"$RUN/key.pem\"}, \"target\":|" "$RUN/e3.json"
HTTP[e3]=https://127.0.0.1:$((PORT_BASE + 6))
fleet_start e3
wait_for 10 curl -skf "${HTTP[e3]}/readyz" || fail "e3 is not ready"
request POST e3 $STATEMENTS -k -H "$AUTH" -d "$READ_BODY"; expect "TLS" '"outcome":"done"'

# Two operators race from the same version; a resend gets the first answer.
version=$("$BIN" show 2>&1 > /dev/null | sed 's/version //')
patch_as() { http_request PATCH e1 /v1/config -H "Authorization: Bearer $OPERATOR_KEY" -H "If-Match: \"$version\"" -H "Request-Id: $1" -H "Operator: $1" -d "{\"teams\":{\"$1\":{\"rate\":1,\"burst\":1}}}"; }
patch_as anna > "$RUN/anna" & P1=$!
patch_as ben > "$RUN/ben" & P2=$!
wait $P1 $P2
[ "$(cat "$RUN/anna" "$RUN/ben" | grep -o in_force | wc -l)" = 1 ] || fail "not exactly one of two patches was accepted"
grep -q stale "$RUN/anna" "$RUN/ben" || fail "no stale answer"
patch_as anna > "$RUN/body"; diff "$RUN/body" "$RUN/anna" || fail "a resend got another answer"
echo "ok race of operators"
for c in c1 c2 c3; do kill -9 "${PID[$c]}"; wait "${PID[$c]}" 2> /dev/null; done
for c in c1 c2 c3; do fleet_start $c; done
wait_for 15 host_ready c1 || fail "c1 did not come back"
wait_for 15 host_ready e1 || fail "e1 has no lease after the restart"
patch_as anna > "$RUN/body"; diff "$RUN/body" "$RUN/anna" || fail "a resend after the restart of all got another answer"
echo "ok resend after the restart of all control hosts"

# A withdrawn key stops on an open connection, in a transaction and on a
# host without control.  No key shows up anywhere.
request POST e1 /v1/groups/orders/transactions -H "$OTHER_AUTH"
TRANSACTION=/v1/groups/orders/transactions/$(sed 's/.*"transaction":"\([^"]*\)".*/\1/' "$RUN/body")
kill -STOP "${PID[c1]}" "${PID[c2]}" "${PID[c3]}"
sleep 2
request POST e2 $STATEMENTS -H "$AUTH" -d "$READ_BODY"; expect "cut-off host serves nothing" '"code":"no_lease","outcome":"not_run"'
kill -CONT "${PID[c1]}" "${PID[c2]}" "${PID[c3]}"
wait_for 10 host_ready e1 || fail "e1 has no lease again"
wait_for 10 host_ready e2 || fail "e2 has no lease again"
"$BIN" key withdraw caterers k2 > "$RUN/body"; expect "withdrawal is in force" '"in_force":true'
request POST e1 "$TRANSACTION/statements" -H "$OTHER_AUTH" -d "$(order_statement tx2)"; expect "withdrawn key in a transaction" 'unauthenticated'
request POST e2 $STATEMENTS -H "$OTHER_AUTH" -d "$READ_BODY"; expect "withdrawn key" '"code":"unauthenticated","outcome":"not_run"'
http_request GET e1 /metrics > "$RUN/metrics"
"$BIN" audit > "$RUN/audit.json"
if grep -rlE "${KEY#*.}|${OTHER_KEY#*.}|$OPERATOR_KEY" "$RUN" --include='*.log' --include='audit*' --include=metrics --include='*.data'; then fail "a key shows up"; fi
grep -rlE "${KEY#*.}" "$RUN"/*.data && fail "a key is on a disk"
grep -q "INSERT INTO orders" "$RUN"/*.received || fail "the targets' bytes were not recorded"
grep -laE "${KEY#*.}|${OTHER_KEY#*.}|$OPERATOR_KEY|Bearer" "$RUN"/*.received && fail "a target saw a key"
grep -q '"who":"anna"\|"who":"ben"' "$RUN/audit.json" || fail "the audit trail names nobody"
echo "ok no key in logs, audit, metrics, disks and at targets"

# A planned stop under load: no request is cut, exit status 0.
COLTSFOOTSTAGE_KEY=$KEY "$BIN" load -u "${HTTP[e2]}" -r 100 -t 4 -w 0.5 -l stop > "$RUN/stop.load" 2>&1 &
LOAD=$!
sleep 1
gate_host=$("$BIN" status | sed "s/.*\"gate\/orders\",\"host\":\"\([^\"]*\)\".*/\1/")
[ "$gate_host" = e2 ] && gate_host=e1
kill -TERM "${PID[$gate_host]}"
wait "${PID[$gate_host]}"; rc=$?
unset "PID[$gate_host]"
[ $rc = 0 ] || fail "$gate_host ended with $rc"
wait $LOAD || { cat "$RUN/stop.load"; fail "load during the stop"; }
[ "$(grep -c '^answers' "$RUN/stop.load")" = 1 ] && grep -q '^answers ok' "$RUN/stop.load" || { cat "$RUN/stop.load"; fail "a request was cut"; }
echo "ok planned stop of $gate_host: $(tr '\n' ';' < "$RUN/stop.load")"
