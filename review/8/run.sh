#!/bin/bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without the disruption.
set -u
case=$(cd "$(dirname "$0")" && pwd)
cd "$case/../.." || exit 2
program=target/review-2/case-$(basename "$case")
if [ ! -x "$program" ] || [ ! -x target/bin/dewcrank-sidecar ]; then
    echo "not built: run the build of deploy/system.toml and review/build-2.sh" >&2
    exit 2
fi
folder=$(mktemp -d) || exit 2
timeout --kill-after=2 115 "$program" "$case/record.txt" "$folder"
result=$?
rm -rf "$folder"
[ "$result" -le 2 ] || result=2
exit "$result"
