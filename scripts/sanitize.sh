#!/usr/bin/env bash
# Builds the libraries that have tests with a sanitizer, in a folder of its own, and runs their
# tests. A report of the sanitizer fails the test that caused it.
# Usage: scripts/sanitize.sh thread|address [LIBRARY...]
set -euo pipefail
cd "$(dirname "$0")/.."
sanitizer=${1:-}
if [ "$sanitizer" != thread ] && [ "$sanitizer" != address ]; then
    echo "usage: scripts/sanitize.sh thread|address [LIBRARY...]" >&2
    exit 2
fi
shift
libraries=("$@")
if [ ${#libraries[@]} = 0 ]; then
    for tests in libs/*/tests; do
        libraries+=("$(basename "$(dirname "$tests")")")
    done
fi
scripts/install.sh
build=${TREFOIL_BUILD_DIR:-build}-$sanitizer
cmake -S . -B "$build" -G Ninja -DTREFOIL_SANITIZER="$sanitizer" >/dev/null
cmake --build "$build" -j "${TREFOIL_JOBS:-$(nproc)}" --target "${libraries[@]/%/_tests}"
names=$(IFS='|'; echo "${libraries[*]}")
ctest --test-dir "$build" --output-on-failure --no-tests=error -j "${TREFOIL_TEST_JOBS:-4}" \
    -R "^($names):"
