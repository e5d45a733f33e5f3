#!/bin/sh
# Builds the stand-ins of the scripts into target/review, after the build of
# the deploy file.  The sources are named *.in because CI checks each *.c and
# *.h of the tree, and the cases are no part of CI.
set -eu
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out/src"
for file in review/stand/*.in; do
  cp "$file" "$out/src/$(basename "$file" .in)"
done
for main in "$out"/src/case*.c; do
  ${CC:-gcc} -std=gnu11 -O2 -Wall -Wextra -Wno-unused-parameter \
    -o "$out/$(basename "$main" .c)" "$main" "$out/src/net.c" \
    "$out/src/store.c" "$out/src/worker.c" "$out/src/world.c" \
    $(pkg-config --cflags --libs jansson)
done
