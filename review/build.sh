#!/bin/sh
# Builds the stand-ins of the scripts into target/review, after the build of
# the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/stand/case*.c; do
  name=$(basename "$main" .c)
  ${CC:-gcc} -std=gnu11 -O2 -Wall -Wextra -Wno-unused-parameter \
    -o "target/review/$name" "$main" review/stand/net.c \
    review/stand/store.c review/stand/worker.c review/stand/world.c \
    $(pkg-config --cflags --libs jansson)
done
