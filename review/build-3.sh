#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start.  The program
# under test is built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
OUT=build/review-3
mkdir -p "$OUT"
for case in review/stand-3/case_*.c; do
  cc -O2 -g -Wall -Wextra -o "$OUT/$(basename "$case" .c)" "$case" \
    review/stand-3/rig.c review/stand-3/instance.c -lpthread
done
