#!/usr/bin/env bash
# Runs both sample deployments as separate processes on loopback, with control and without, and
# prints a table of the measures. Takes about five minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
build=${TREFOIL_BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "$(nproc)" --target trefoilholdd trefoilhold stand_in_platform \
    stand_in_upstream load_driver measures
. scripts/fleet.sh
trap fleet_stop EXIT
results=results/demo
mkdir -p "$results"

# run_deployment DEPLOYMENT CONTROL OUT
run_deployment() {
    local dir
    dir=$(mktemp -d)
    fleet_start "$1" "$dir" "$2"
    fleet_workload "samples/workloads/$1.toml" "$dir/workload.toml"
    echo "waiting until $1 serves every kind at every node (control $2)"
    fleet_ready "$dir/workload.toml"
    "$fleet_bin/load_driver/load_driver" --workload "$dir/workload.toml" --out "$3"
    fleet_stop
}

for deployment in ${TREFOIL_DEMO:-serra-gaucha quillhaven}; do
    run_deployment "$deployment" true "$results/$deployment-on.json"
    run_deployment "$deployment" false "$results/$deployment-off.json"
done
for deployment in ${TREFOIL_DEMO:-serra-gaucha quillhaven}; do
    # The triggers end at 11 s (everything at five times its rate) and 26 s (a slow deep service).
    "$fleet_bin/measures/measures" "$deployment" "$results/$deployment-on.json" \
        "$results/$deployment-off.json" 11 26
done
