#!/usr/bin/env bash
# Short runs of the fault soak: the seeds that failed in the past and two more.
# SEEDS sets other seeds, SECONDS_EACH the length of a run, JOBS the number of
# runs in parallel.  Each run prints its seed and the folder of its logs.
set -u
cd "$(dirname "$0")/../.."
BUILD=${BUILD:-build}
export BUILD
# Seeds that failed in the past; the cause of each goes into a comment line.
# 6: after a second reply in a pause of a transaction its COMMIT ran alone on
#    another connection.
# 9: a second reply left a connection in a transaction; it was closed, and the
#    answer sent from its freed memory.
# 10: a replica that had not reported itself acknowledged commits, and an
#    earlier promotion request was carried out.
REGRESSIONS="6 9 10"
SEEDS=${SEEDS:-"1 2 $REGRESSIONS"}
SECONDS_EACH=${SECONDS_EACH:-15}
JOBS=${JOBS:-4}
OUT=$(mktemp -d "${TMPDIR:-/tmp}/coltsfootstage-soak.XXXXXX")

printf '%s\n' $SEEDS \
  | xargs -P "$JOBS" -I{} sh -c "$BUILD/soak {} $SECONDS_EACH $OUT/{} > $OUT/{}.out 2>&1"
cat "$OUT"/*.out
if grep -L " 0 broken" "$OUT"/*.out | grep -q .; then
  echo "FAILED, logs in $OUT"
  exit 1
fi
rm -rf "$OUT"
