#!/bin/bash
# Runs the case beside this file; see claim.txt. Exit status: 1 rule broken, 0 rule held, 2 the case couldn't run.
# TROUBLE=0: the same without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
driver=build/review/case-$(basename "$here")
[ -x target/bin/dewcrank-sidecar ] || { echo "target/bin/dewcrank-sidecar: build it as deploy/system.toml says" >&2; exit 2; }
[ -x "$driver" ] || review/build.sh || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=5 115 "$driver" "$folder" "$here/record.txt"
result=$?
[ "$result" = 0 ] || [ "$result" = 1 ] || result=2
exit "$result"
