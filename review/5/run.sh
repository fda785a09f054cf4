#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case_folder=$(cd "$(dirname "$0")" && pwd) || exit 2
number=$(basename "$case_folder")
cd "$case_folder/../.." || exit 2
[ -x target/trefoilhold-sidecar ] && [ -x "review/out/case-$number" ] || exit 2
exec "review/out/case-$number" "review/$number"
