#!/bin/bash
# Runs nine nodes on loopback: steady load, a load burst, a killed node and instance, a planned stop and a table change.
# Prints the results of the callers at the end. Exit code 0 if all checks of the soak passed.
set -eu
cd "$(dirname "$0")/.."
programs=${1:-build/bin}
echo "== 10 s at 1x, 8 s at 3x, 27 s at 1x; a node is killed at 22 s and an instance at 25 s, a node is stopped"
echo "== as planned at 28 s, the table changes at 29 s"
scripts/soak.sh --programs "$programs" --seed 1 --seconds 45 -- --rate 120 --progress \
    --fault burst@10+8/0 --fault node-kill@22+3/4 --fault instance-crash@25+3/7 --fault node-stop@28+1/1 \
    --fault table-change@29+0/0
