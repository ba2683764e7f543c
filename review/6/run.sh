#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build-2.sh. TROUBLE=0 does the
# same without the disruption and must pass. Exit code: 1 if the rule was broken, 0 if it held,
# 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review-2/review2/Main.class ] && [ -d target/balsamlane-platform ] || { echo "build first"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 112 java -Djava.io.tmpdir="$folder" -cp target/review-2 review2.Main store-drill review/6/record.txt "${TROUBLE:-1}" &
child=$!
# A script that is stopped ends its routers before it exits.
trap 'kill "$child" 2>/dev/null; wait "$child"; exit 2' INT TERM
wait "$child"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
