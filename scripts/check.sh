#!/bin/bash
# Checks the format, the generated code, the isolation of platform names and the linter. Any finding fails.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mapfile -t sources < <(git ls-files '*.cc' '*.h' | grep -v '^proto/generated/')
clang-format --dry-run --Werror "${sources[@]}"
echo "format: ${#sources[@]} files clean"
generated=$(mktemp -d)
trap 'rm -rf "$generated"' EXIT
protoc --proto_path=proto --cpp_out="$generated" fleet.proto
diff -r proto/generated "$generated"
echo "generated code: matches proto/*.proto"
platform_names='Dewcrank-[A-Z][a-z]+-|/dewcrank/(readiness|Instances|objects)|AppAddr|PathPrefix|TargetLatencyMs|TrafficSplit|Server-(Limit|Leaving)'
if git grep -nIE "$platform_names" -- src apps sim proto; then
    echo "names: platform names are used outside platform/" >&2
    exit 1
fi
lines=$(git ls-files 'platform/*' | xargs cat | wc -l)
if [ "$lines" -gt 800 ]; then
    echo "platform/: $lines lines, at most 800 are allowed" >&2
    exit 1
fi
echo "platform/: $lines lines; its names are used nowhere else"
mapfile -t units < <(git ls-files 'src/*.cc' 'apps/*.cc' 'sim/*.cc' 'platform/*.cc' 'tests/soak/*.cc' 'tests/standins/*.cc')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 4 clang-tidy -p "$build" --quiet --warnings-as-errors='*' 2> /dev/null
echo "lint: ${#units[@]} files clean"
