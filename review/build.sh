#!/bin/bash
# Builds the stand-ins and the drivers of the review's cases into build/review. Uses the compiler and nlohmann-json, which
# the project needs anyway.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
flags=(-std=c++20 -O2 -Wall -Wextra -I. -pthread)
jobs=()
for unit in http deployment planned_stop; do
    g++ "${flags[@]}" -c "review/standins/$unit.cc" -o "build/review/$unit.o" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
jobs=()
for driver in review/*/case.cc; do
    number=$(basename "$(dirname "$driver")")
    g++ "${flags[@]}" "$driver" build/review/{http,deployment,planned_stop}.o -o "build/review/case-$number" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
