#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start, into review/bin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
CC=${CC:-gcc}
FLAGS="-std=c11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -Werror"
$CC $FLAGS -Ireview/stand-2 review/stand-2/instances.c review/stand-2/kit.c \
  -o review/bin/instances -lpthread
for c in review/[6-9]/case.c review/10/case.c; do
  [ -e "$c" ] || continue
  n=$(basename "$(dirname "$c")")
  $CC $FLAGS -Ireview/stand-2 "$c" review/stand-2/kit.c \
    -lpthread -o "review/bin/case$n"
done
