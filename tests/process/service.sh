# Callers and operators against the real binary: keys, sessions, teams, bad
# input, racing operators, a planned stop under load.
set -u
cd "$(dirname "$0")/../.."
PORT_BASE=23000
. tests/fleet.sh
fail() { echo "FAILED: $1"; tail -n 8 "$RUN"/*.log; exit 1; }
# expect NAME PATTERN: the last body must match.
expect() { grep -qE "$2" "$RUN/body" || { cat "$RUN/body"; fail "$1"; }; echo "ok $1"; }
ask() { call "$@" > "$RUN/body"; }

fleet_hosts
fleet_group orders 10 --slots 5 --lag-ms 20
wait_for 20 host_ready e1 || fail "e1 is not ready"
wait_for 20 host_ready e2 || fail "e2 is not ready"
wait_for 20 group_serving orders || fail "no gate"
for t in weavers caterers; do "$BIN" team set $t --rate 500 --burst 300 > /dev/null || fail team; done
KEY=$("$BIN" key create weavers k1 | sed -n 's/^key //p')
OTHER=$("$BIN" key create caterers k2 | sed -n 's/^key //p')
"$BIN" sheet set board --group orders --team weavers --sql "SELECT count(*) FROM orders" > /dev/null
"$BIN" sheet set hall --group orders --team weavers --open --sql "SELECT count(*) FROM orders" > /dev/null
A="Authorization: Bearer $KEY" B="Authorization: Bearer $OTHER"
S=/v1/groups/orders/statements
READ='{"sql":"SELECT count(*) FROM orders","mode":"read"}'
book() { echo "{\"sql\":\"INSERT INTO orders (id, team, item, qty) VALUES (\$1, \$2, \$3, \$4)\",\"params\":[\"$1\",\"w\",\"i\",1]}"; }

# Read-your-writes on any host; tokens of another team and altered ones.
ask POST e1 $S -H "$A" -H "Idempotency-Key: o1" -d "$(book o1)"
expect "books" '"outcome":"done"'
TOKEN=$(session)
for i in 1 2 3 4 5 6; do
  ask POST e2 $S -H "$A" -H "Session: $TOKEN" -d "$READ"
  grep -q '"1"' "$RUN/body" || fail "a session does not read its own write"
done
echo "ok reads its own write on the other host"
ask POST e2 $S -H "$B" -H "Session: $TOKEN" -d "$READ"
expect "token of another team" '"code":"forbidden","outcome":"not_run"'
ask POST e2 $S -H "$A" -H "Session: x$TOKEN" -d "$READ"
expect "altered token" '"code":"bad_request","outcome":"not_run"'
ask POST e1 $S -H "$A" -H "Idempotency-Key: o1" -d "$(book o2)"
expect "key reused for another statement" 'idempotency_key_reused'
ask POST e1 $S -H "$A" -d '{"sql":"INSERT INTO orders (id, team, item, qty) VALUES ($1, $2, $3, $4)","params":["o9","w","i",1],"mode":"read"}'
expect "a write declared as a read fails" '"code":"sql_error","outcome":"not_run"'
ask POST e1 $S -H "$A" -d '{"sql":"SET ROLE admin"}'
expect "session statements are refused" '"code":"bad_request"'

ask POST e1 /v1/groups/nowhere/statements -H "$A" -d '{"sql":"SELECT 1","mode":"read","deadline_ms":300}'
expect "group that nobody knows" '"code":"no_target","outcome":"not_run"'

# Sheets: only the owner, or all when open.
ask GET e2 /v1/sheets/board -H "$B"
expect "sheet of another team" '"code":"forbidden"'
ask GET e2 /v1/sheets/board
expect "sheet without a key" '"code":"unauthenticated"'
ask GET e2 /v1/sheets/hall
expect "open sheet without a key" '"outcome":"done"'

# Transactions work from any host, for their own team only.
ask POST e1 /v1/groups/orders/transactions -H "$A"
expect "begins" '"transaction":"'
T=/v1/groups/orders/transactions/$(sed 's/.*"transaction":"\([^"]*\)".*/\1/' "$RUN/body")
ask POST e2 "$T/statements" -H "$B" -d "$(book tx1)"
expect "transaction of another team" 'transaction_lost'
ask POST e2 "$T/statements" -H "$A" -d "$(book tx1)"
expect "statement from the other host" '"outcome":"done"'
ask POST e1 "$T/commit" -H "$A"
expect "commits" '"outcome":"done"'
ask POST e1 "$T/commit" -H "$A"
expect "commits only once" 'transaction_lost'

# Bad input hurts nobody else.
head -c 10000000 /dev/zero | tr '\0' 'a' > "$RUN/big"
ask POST e1 $S -H "$A" --data-binary "@$RUN/big"; expect "10 MB body" 'too large'
ask POST e1 $S -H "$A" -d '{"sql":'; expect "broken JSON" 'bad_request'
printf '{"sql":"SELECT \xff"}' > "$RUN/bad"
ask POST e1 $S -H "$A" --data-binary "@$RUN/bad"; expect "bad UTF-8" 'bad_request'
[ "$(call PUT e1 $S -H "$A" -o /dev/null -w '%{http_code}')" = 405 ] || fail "wrong method"
code=$(call POST e1 $S -H "X: $(head -c 100000 /dev/zero | tr '\0' 'a')" -o /dev/null -w '%{http_code}')
case $code in 4* | 000) echo "ok 100 kB header ($code)" ;; *) fail "100 kB header: $code" ;; esac
exec 9<> /dev/tcp/127.0.0.1/$((PORT_BASE + 4))
printf 'POST %s HTTP/1.1\r\nContent-Le' $S >&9
ask POST e1 $S -H "$A" -d "$READ"; expect "others are served beside half a request" '"outcome":"done"'
exec 9>&-

exec 9<> /dev/tcp/127.0.0.1/$((PORT_BASE + 4))
for i in $(seq 300); do printf 'GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n' >&9; done
ask POST e1 $S -H "$A" -d "$READ"; expect "others are served beside a caller that reads nothing" '"outcome":"done"'
exec 9>&-

# TLS towards callers, when the settings name a certificate.
openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=e3 \
  -keyout "$RUN/key.pem" -out "$RUN/cert.pem" 2> /dev/null
fleet_settings e3 c 6
sed -i "s|\"target\":|\"tls\": {\"certificate_file\": \"$RUN/cert.pem\", \"key_file\": \"$RUN/key.pem\"}, \"target\":|" "$RUN/e3.json"
HTTP[e3]=https://127.0.0.1:$((PORT_BASE + 6))
fleet_start e3
wait_for 10 curl -skf "${HTTP[e3]}/readyz" || fail "e3 is not ready"
ask POST e3 $S -k -H "$A" -d "$READ"; expect "TLS" '"outcome":"done"'

# Two operators race from the same version; a resend gets the first answer.
v=$("$BIN" show 2>&1 > /dev/null | sed 's/version //')
patch() { call PATCH e1 /v1/config -H "Authorization: Bearer $OPERATOR_KEY" -H "If-Match: \"$v\"" -H "Request-Id: $1" -H "Operator: $1" -d "{\"teams\":{\"$1\":{\"rate\":1,\"burst\":1}}}"; }
patch anna > "$RUN/anna" & P1=$!
patch ben > "$RUN/ben" & P2=$!
wait $P1 $P2
[ "$(cat "$RUN/anna" "$RUN/ben" | grep -o in_force | wc -l)" = 1 ] || fail "not exactly one of two patches was accepted"
grep -q stale "$RUN/anna" "$RUN/ben" || fail "no stale answer"
patch anna > "$RUN/body"; diff "$RUN/body" "$RUN/anna" || fail "a resend got another answer"
echo "ok race of operators"
for c in c1 c2 c3; do kill -9 "${PID[$c]}"; wait "${PID[$c]}" 2> /dev/null; done
for c in c1 c2 c3; do fleet_start $c; done
wait_for 15 host_ready c1 || fail "c1 did not come back"
wait_for 15 host_ready e1 || fail "e1 has no lease after the restart"
patch anna > "$RUN/body"; diff "$RUN/body" "$RUN/anna" || fail "a resend after the restart of all got another answer"
echo "ok resend after the restart of all control hosts"

# A withdrawn key stops on an open connection, in a transaction and on a
# host without control.  No key shows up anywhere.
ask POST e1 /v1/groups/orders/transactions -H "$B"
T=/v1/groups/orders/transactions/$(sed 's/.*"transaction":"\([^"]*\)".*/\1/' "$RUN/body")
kill -STOP "${PID[c1]}" "${PID[c2]}" "${PID[c3]}"
sleep 2
ask POST e2 $S -H "$A" -d "$READ"; expect "cut-off host serves nothing" '"code":"no_lease","outcome":"not_run"'
kill -CONT "${PID[c1]}" "${PID[c2]}" "${PID[c3]}"
wait_for 10 host_ready e1 || fail "e1 has no lease again"
wait_for 10 host_ready e2 || fail "e2 has no lease again"
"$BIN" key withdraw caterers k2 > "$RUN/body"; expect "withdrawal is in force" '"in_force":true'
ask POST e1 "$T/statements" -H "$B" -d "$(book tx2)"; expect "withdrawn key in a transaction" 'unauthenticated'
ask POST e2 $S -H "$B" -d "$READ"; expect "withdrawn key" '"code":"unauthenticated","outcome":"not_run"'
call GET e1 /metrics > "$RUN/metrics"
"$BIN" audit > "$RUN/audit.json"
if grep -rlE "${KEY#*.}|${OTHER#*.}|$OPERATOR_KEY" "$RUN" --include='*.log' --include='audit*' --include=metrics --include='*.data'; then fail "a key shows up"; fi
grep -rlE "${KEY#*.}" "$RUN"/*.data && fail "a key is on a disk"
grep -q "INSERT INTO orders" "$RUN"/*.received || fail "the targets' bytes were not recorded"
grep -laE "${KEY#*.}|${OTHER#*.}|$OPERATOR_KEY|Bearer" "$RUN"/*.received && fail "a target saw a key"
grep -q '"who":"anna"\|"who":"ben"' "$RUN/audit.json" || fail "the audit trail names nobody"
echo "ok no key in logs, audit, metrics, disks and at targets"

# A planned stop under load: no request is cut, exit status 0.
COLTSFOOTSTAGE_KEY=$KEY "$BIN" load -u "${HTTP[e2]}" -r 100 -t 4 -w 0.5 -l stop > "$RUN/stop.load" 2>&1 &
LOAD=$!
sleep 1
g=$("$BIN" status | sed "s/.*\"gate\/orders\",\"host\":\"\([^\"]*\)\".*/\1/")
[ "$g" = e2 ] && g=e1
kill -TERM "${PID[$g]}"
wait "${PID[$g]}"; rc=$?
unset "PID[$g]"
[ $rc = 0 ] || fail "$g ended with $rc"
wait $LOAD || { cat "$RUN/stop.load"; fail "load during the stop"; }
[ "$(grep -c '^answers' "$RUN/stop.load")" = 1 ] && grep -q '^answers ok' "$RUN/stop.load" || { cat "$RUN/stop.load"; fail "a request was cut"; }
echo "ok planned stop of $g: $(tr '\n' ';' < "$RUN/stop.load")"
