#!/usr/bin/env bash
# Checks the format of every source file and runs clang-tidy on every one that the build compiles.
# Usage: scripts/lint.sh BUILD_DIR [FILE_REGEX]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
pattern=${2:-"$PWD/(libs|apps|platform)/"}
git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs clang-format --dry-run --Werror
# clang 14 needs these two definitions to parse coroutines with libstdc++ 12.
run-clang-tidy -quiet -p "$build" -j "${TREFOIL_JOBS:-$(nproc)}" \
    -extra-arg=-D__cpp_impl_coroutine=201902L -extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 \
    -extra-arg=-Wno-unknown-warning-option "$pattern" >"$build/tidy.log" 2>&1 ||
    { grep -E 'warning:|error:' "$build/tidy.log" | sort -u | head -40; exit 1; }
echo "format and lint clean"
