#!/bin/sh
# Plays the case "forgotten" (review/standin-2/cases.h). Status 1: the rule was broken; 0: it held; 2: the
# case could not run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and
# review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
here=review/6
[ -x target/seampass ] && [ -x target/review/standin2 ] || { echo "not built" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
timeout -k 1 118 target/review/standin2 forgotten target/seampass "$folder" "$here/record.txt"
status=$?
rm -rf "$folder"
[ "$status" -le 1 ] || status=2
exit "$status"
