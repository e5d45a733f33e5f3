#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# TROUBLE=0 leaves the disruption out; KEEP=1 keeps the processes' logs.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review/case$(basename "$here")
[ -x target/kingcuphollow ] && [ -x "$program" ] || exit 2
folder=$(mktemp -d) || exit 2
TROUBLE=${TROUBLE:-1} timeout -k 5 115 "$program" "$here/record.txt" "$folder"
status=$?
[ -z "${KEEP:-}" ] && rm -rf "$folder" || echo "$folder"
[ "$status" -le 2 ] || status=2
exit $status
