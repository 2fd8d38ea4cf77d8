#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/case5 ] || { echo "run review/build.sh first"; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
review/bin/case5 review/5
status=$?
[ -n "${KEEP:-}" ] && echo "kept $TMPDIR" || rm -rf "$TMPDIR"
exit $status
