#!/bin/sh
# Builds the stand-ins and scenarios of the scripts in review/6 to review/10
# into out/review-2/.  Run it after the build of the deploy file; it needs a C
# compiler and jansson, which that build needs too.  The sources end in ".in"
# so that they stay out of CI.
set -eu
cd "$(dirname "$0")/.."
out=out/review-2
mkdir -p "$out/src/review/stand-2"
for file in world.c world.h; do
  cp "review/stand-2/$file.in" "$out/src/review/stand-2/$file"
done
for number in 6 7 8 9 10; do
  [ -f "review/$number/scenario.c.in" ] || continue
  cp "review/$number/scenario.c.in" "$out/src/scenario-$number.c"
  # shellcheck disable=SC2046
  ${CC:-cc} -std=gnu11 -O1 -g -Wall -D_GNU_SOURCE -I"$out/src" -I. \
    -o "$out/case-$number" "$out/src/scenario-$number.c" \
    "$out/src/review/stand-2/world.c" test/soak/net.c test/soak/store.c \
    $(pkg-config --cflags --libs jansson)
done
