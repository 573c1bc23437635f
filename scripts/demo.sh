#!/bin/bash
# Nine nodes on loopback: a steady load, a surge at four times it, then a node and an instance that are killed, a
# planned stop and a change of the table. Ends with what callers saw. Exit code 0 only if no promise was seen broken.
set -eu
cd "$(dirname "$0")/.."
programs=${1:-build/bin}
echo "== 10 s at 1x, 8 s at 3x, 27 s at 1x; at 22 s a node is killed, at 25 s an instance, at 28 s a node is stopped as"
echo "== planned, at 29 s the table changes"
scripts/soak.sh --programs "$programs" --seed 1 --seconds 45 -- --rate 120 --progress \
    --fault burst@10+8/0 --fault node-kill@22+3/4 --fault instance-crash@25+3/7 --fault node-stop@28+1/1 \
    --fault table-change@29+0/0
