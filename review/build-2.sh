#!/bin/bash
# Builds what the scripts of the second review start, into target/review-2/: each case with its stand-ins. It needs the
# packages of deploy/system.toml, and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/standins-2/lab.cc -o target/review-2/lab.o
for source in review/[4-8]/driver.cc; do
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" target/review-2/lab.o -o "target/review-2/case-$number"
done
