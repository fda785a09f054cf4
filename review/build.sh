#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into review/out/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
for source in ?/case.cpp; do
    g++ -std=c++20 -O2 -Wall -Wextra -pthread -Istand_ins -o "out/case-${source%%/*}" \
        "$source" stand_ins/stand_ins.cpp
done
