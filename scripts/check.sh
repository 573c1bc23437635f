#!/bin/bash
# Formatter, linter and generated code. Any difference or warning fails.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mapfile -t sources < <(git ls-files '*.cc' '*.h' | grep -v '^proto/generated/')
clang-format --dry-run --Werror "${sources[@]}"
echo "format: ${#sources[@]} files clean"
fresh=$(mktemp -d)
trap 'rm -rf "$fresh"' EXIT
protoc --proto_path=proto --cpp_out="$fresh" peer.proto fleet.proto
diff -r proto/generated "$fresh"
echo "generated code: matches proto/*.proto"
mapfile -t units < <(git ls-files 'src/*.cc' 'apps/*.cc' 'sim/*.cc')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 4 clang-tidy -p "$build" --quiet --warnings-as-errors='*' 2> /dev/null
echo "lint: ${#units[@]} files clean"
