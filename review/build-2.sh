#!/usr/bin/env bash
# Compiles the scenarios of the second review with the stand-ins they use. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/out
for source in review/{6,7,8,9,10}/scenario.cpp; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/harness \
        -o "review/out/scenario-$number" "$source" review/harness/harness.cpp
done
