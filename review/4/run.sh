#!/usr/bin/env bash
# Runs the case after the build of the deploy file and review/build.sh. TROUBLE=0 leaves the
# disruption out. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/review/SilentStore.class ] && [ -d target/balsamlane-platform ] || { echo "build first"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 118 java -Djava.io.tmpdir="$folder" -cp target/review SilentStore review/4/record.txt "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
