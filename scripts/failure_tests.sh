#!/usr/bin/env bash
# Runs a fleet of real processes under kills, pauses, platform outages and configuration changes.
# Checks, whatever the timing: no wrong answer, no once-only work run twice, no work run of which a
# caller was told not-run, and that the fleet serves every kind again afterwards.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap fleet_stop EXIT
failures=0

fail() {
    echo "FAILED: $*"
    failures=$((failures + 1))
}

# Starts the load in the background; `finish_load NAME` waits for it and checks the results.
start_load() {
    "$fleet_bin/load_driver/load_driver" --workload "$fleet_dir/workload.toml" \
        --out "$fleet_dir/results.json" &
    load_pid=$!
    sleep 2
}

finish_load() {
    wait "$load_pid" || fail "$1: load driver"
    grep -q '"offered"' "$fleet_dir/results.json" || fail "$1: no results"
    ! grep -Eq '"wrong_answer" : [1-9]' "$fleet_dir/results.json" || fail "$1: wrong answer"
    ! grep -Eq '"ran_twice" : [1-9]' "$fleet_dir/results.json" || fail "$1: once-only work ran twice"
    ! grep -Eq '"ran_although_not_run" : [1-9]' "$fleet_dir/results.json" ||
        fail "$1: work ran although its caller was told not-run"
    cp "$fleet_dir/results.json" "$fleet_dir/results-$1.json"
    fleet_workload samples/workloads/failure-tests.toml "$fleet_dir/workload.toml"
    fleet_ready "$fleet_dir/workload.toml" || fail "$1: not every kind is served afterwards"
    echo "checked: $1"
}

status_of() { # VM FIELD: first value of a field of the status page
    "$fleet_bin/trefoilhold/trefoilhold" status --json "${fleet_control[$1]}" 2>/dev/null |
        grep -oE "\"$2\" ?: ?[^,}]*" | head -1 | sed 's/.*: *//'
}

# await DESCRIPTION COMMAND...: repeats until the command succeeds; gives up after 60 s.
await() {
    local what=$1 i
    shift
    for i in $(seq 1 300); do
        if "$@"; then return 0; fi
        sleep 0.2
    done
    fail "$what"
}

every_node_has_version() {
    local vm
    for vm in "${fleet_vms[@]}"; do
        [ "$(status_of "$vm" version)" = "$1" ] || return 1
    done
}

publish() { # VERSION: builds the next bundle from the sample with one changed deadline
    local objects="$fleet_dir/objects-$1"
    rm -rf "$objects"
    cp -r samples/serra-gaucha "$objects"
    sed -i "s/deadline_ms = 3000/deadline_ms = $((3000 + $1))/" "$objects/kinds.toml"
    "$fleet_bin/trefoilhold/trefoilhold" build --base "$fleet_dir/bundle.toml" \
        --out "$fleet_dir/bundle-$1.toml" "$objects"/*.toml >/dev/null
    cp "$fleet_dir/bundle-$1.toml" "$fleet_dir/bundle.toml.new"
    mv "$fleet_dir/bundle.toml.new" "$fleet_dir/bundle.toml"
}

node_killed() {
    start_load
    fleet_kill bastidores-1
    fleet_wait bastidores-1 || true
    sleep 1
    fleet_restart bastidores-1
    finish_load node_killed
}

upstream_killed() {
    start_load
    fleet_kill upstream-pedidos-2
    fleet_wait upstream-pedidos-2 || true
    sleep 1
    fleet_restart upstream-pedidos-2
    finish_load upstream_killed
}

node_paused() {
    start_load
    fleet_kill pedidos-1 STOP
    sleep 4
    fleet_kill pedidos-1 CONT
    finish_load node_paused
}

upstream_paused() {
    start_load
    fleet_kill upstream-bastidores-2 STOP
    sleep 3
    fleet_kill upstream-bastidores-2 CONT
    finish_load upstream_paused
}

platform_killed() {
    start_load
    fleet_kill platform
    fleet_wait platform || true
    finish_load platform_killed
    fleet_restart platform
}

configuration_published() {
    publish 2
    await "version 2 in force everywhere" every_node_has_version 2
    echo "checked: configuration_published"
}

stale_platform_after_restart() {
    # The platform shows version 1 again; a restarted node must take version 2 from its peers.
    cp "$fleet_dir/bundle-1.toml" "$fleet_dir/bundle.toml.new"
    mv "$fleet_dir/bundle.toml.new" "$fleet_dir/bundle.toml"
    fleet_kill vitrine-1
    fleet_wait vitrine-1 || true
    fleet_restart vitrine-1
    await "the restarted node holds version 2" every_node_has_version 2
    echo "checked: stale_platform_after_restart"
    cp "$fleet_dir/bundle-2.toml" "$fleet_dir/bundle.toml.new"
    mv "$fleet_dir/bundle.toml.new" "$fleet_dir/bundle.toml"
}

node_drained() {
    start_load
    kill -TERM "${fleet_pid[tinturaria-3]}"
    local code=0
    fleet_wait tinturaria-3 || code=$?
    [ "$code" = 0 ] || fail "node_drained: exit code $code, requests were cut"
    write_vm_list 2 tinturaria-3
    finish_load node_drained
}

platform_paused_while_node_killed_twice() {
    start_load
    fleet_kill platform STOP
    fleet_kill bastidores-3
    fleet_wait bastidores-3 || true
    fleet_kill pedidos-3
    fleet_wait pedidos-3 || true
    sleep 1
    fleet_kill platform CONT
    fleet_restart bastidores-3
    fleet_restart pedidos-3
    finish_load platform_paused_while_node_killed_twice
}

crashing_request() {
    # The same content is sent again and again; each run of it ends the upstream that runs it.
    local crashes_before crashes i
    start_load
    cat >"$fleet_dir/crash.toml" <<EOF
entries = [$(printf '"%s", ' "${fleet_call[vitrine-1]}" "${fleet_call[vitrine-2]}")]
seed = 3
fixed_body = "crash"

[[flow]]
kind = "release_dye_lot"
group = "hotel-serrano"
service = "tinturaria"
rate = 10.0
deadline_ms = 1000

[[phase]]
ms = 4000
EOF
    "$fleet_bin/load_driver/load_driver" --workload "$fleet_dir/crash.toml" --out /dev/null &
    local crash_pid=$!
    crashes=0
    for i in $(seq 1 40); do
        for vm in tinturaria-1 tinturaria-2; do
            if ! kill -0 "${fleet_pid[upstream-$vm]}" 2>/dev/null; then
                fleet_wait "upstream-$vm" || true
                crashes=$((crashes + 1))
                fleet_restart "upstream-$vm"
            fi
        done
        sleep 0.15
    done
    wait "$crash_pid" || true
    echo "crashes by one content: $crashes of about 40 sends"
    # Two by the bound, and one on the other target while the quarantine spreads.
    [ "$crashes" -le 3 ] || fail "crashing_request: $crashes crashes"
    [ "$crashes" -ge 1 ] || fail "crashing_request: the request never ran"
    finish_load crashing_request
}

# Nodes of one service that stop answering, without refusing connections, must not end the leases of
# the others while these are a majority.
third_of_a_service_paused() {
    local i
    for i in 1 2 3; do fleet_kill "tinturaria-$i" STOP; done
    # Longer than a lease, so that only renewals after the pause can hold it.
    sleep 8
    await "third_of_a_service_paused: the other seven hold the lease" other_seven_hold_the_lease
    for i in 1 2 3; do fleet_kill "tinturaria-$i" CONT; done
    echo "checked: third_of_a_service_paused"
}

other_seven_hold_the_lease() {
    local vm
    for vm in "${fleet_vms[@]}"; do
        case $vm in tinturaria-[123]) continue ;; esac
        [ "$(status_of "$vm" held)" = true ] || return 1
    done
}

# The sidecar has a store of its own kind, which can return from an older copy.
store_returned_from_copy() {
    "${TREFOIL_BUILD_DIR:-build}/platform/tests/store_return/store_return_tests" "[failure]" \
        >"$dir/store_return.log" 2>&1 || fail "store_returned_from_copy: see $dir/store_return.log"
    echo "checked: store_returned_from_copy"
}

dir=$(mktemp -d)
fleet_objects=samples/serra-gaucha fleet_start failure-tests "$dir" true
cp "$dir/bundle.toml" "$dir/bundle-1.toml"
fleet_workload samples/workloads/failure-tests.toml "$dir/workload.toml"
fleet_ready "$dir/workload.toml" || fail "the fleet never served every kind"
for scenario in ${*:-node_killed upstream_killed node_paused upstream_paused platform_killed \
    configuration_published stale_platform_after_restart \
    platform_paused_while_node_killed_twice crashing_request node_drained}; do
    "$scenario"
done
fleet_stop
if [ $# = 0 ]; then
    fleet_objects=samples/serra-gaucha fleet_start one-service "$(mktemp -d)" true
    fleet_workload samples/workloads/one-service.toml "$fleet_dir/workload.toml"
    fleet_ready "$fleet_dir/workload.toml" || fail "the service never served"
    third_of_a_service_paused
    fleet_stop
    store_returned_from_copy
fi
echo "logs and results: $dir"
[ "$failures" = 0 ] || { echo "$failures failed"; exit 1; }
echo "failure tests passed"
