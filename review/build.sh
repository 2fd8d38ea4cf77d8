#!/bin/sh
# Builds the stand-ins that the cases start, into review/bin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
CC=${CC:-gcc}
FLAGS="-std=c11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Werror"
$CC $FLAGS review/stand/group.c -o review/bin/group
for c in review/[1-5]/case.c; do
  n=$(basename "$(dirname "$c")")
  $CC $FLAGS -Ireview/stand "$c" review/stand/rig.c -o "review/bin/case$n" \
    -lpthread
done
