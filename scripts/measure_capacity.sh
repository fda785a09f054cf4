#!/usr/bin/env bash
# Measures what one node costs and prints the results as JSON lines, also into
# results/capacity/results.jsonl. Needs a finished build (TREFOIL_BUILD_DIR, default build) and, for
# messages and bytes, perf with access to tracepoints. Takes about five minutes and starts at most 241 processes.
#
# Fleets without calls run side by side, each node with its upstream stand-in. Objects are those of
# the design scale (130 services). The list first holds the nodes of the fleet only, then
# 2,400 entries: the additional ones are marked `leaving`, so that no node contacts them.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/fleet.sh
. scripts/fleet.sh
fleet_bin=$(realpath "$fleet_bin")
results=$PWD/results/capacity
mkdir -p "$results"
work=$(mktemp -d)
window=${CAPACITY_WINDOW_S:-15}
settle=${CAPACITY_SETTLE_S:-38} # Leases need 30 s when a whole service starts.
# A watcher holds one watch at a time and pauses between them, so that changes closer together than
# about 2.5 s are taken over together.
changes=4
# shellcheck disable=SC2034 # Used by the commands on standard input of measure_window.
change_interval_s=3
list_size=2400
services=130
ticks=$(getconf CLK_TCK)

emit() { printf '%s\n' "$1" | tee -a "$work/$2.jsonl"; }

# Writes the objects of the design scale and the layout of one fleet.
# write_deployment DIR ZONES SERVICE:TARGETS...
write_deployment() {
    local dir=$1 zone_names=$2 entry
    shift 2
    mkdir -p "$dir/samples/fleets/scale" "$dir/samples/scale"
    awk -v services="$services" 'BEGIN {
        for (i = 1; i <= 6; ++i) printf "[[group]]\nname = \"group-%d\"\nshare = 1\n\n", i
        for (i = 1; i <= 4; ++i)
            printf "[[rank]]\nname = \"rank-%d\"\norder = %d\nshare = %d\n\n", i, i, i % 4
        for (i = 1; i <= services; ++i) {
            printf "[[service]]\nname = \"service-%03d\"\nslots = 50\nconnections = 400\n\n", i
            printf "[[kind]]\nname = \"kind-%03d\"\nrank = \"rank-%d\"\n", i, i % 4 + 1
            printf "entry = \"service-%03d\"\nrepeatable = true\n", i
            printf "deadline_ms = 2000\nretries = 2\n\n"
        }
        # Chains of at most 19 services; each service calls the next one and the one after it.
        for (i = 1; i <= services; ++i)
            for (step = 1; step <= 2; ++step)
                if (i + step <= services && int((i - 1) / 19) == int((i + step - 1) / 19))
                    printf "[[call]]\nfrom = \"service-%03d\"\nto = \"service-%03d\"\n\n", i, i + step
    }' >"$dir/samples/scale/objects.toml"
    echo "$zone_names" >"$dir/samples/fleets/scale/zones"
    for entry in "$@"; do
        printf '%s\t%s\t50\t0\t-\n' "${entry%:*}" "${entry#*:}"
    done >"$dir/samples/fleets/scale/topology.tsv"
}

# Publishes the fleet's list with entries added up to the design scale.
publish_full_list() { # REVISION
    mkdir -p "$fleet_dir/list"
    (fleet_dir=$fleet_dir/list && write_vm_list "$1")
    local missing=$((list_size - ${#fleet_vms[@]}))
    awk -v missing="$missing" -v services="$services" '{
        sub(/\]\}$/, ""); printf "%s", $0
        for (i = 0; i < missing; ++i)
            printf ",{\"vm\":\"absent-%d\",\"availability_zone\":\"zone-%d\",\"service\":\"service-%03d\",\"address\":\"10.0.%d.%d\",\"call_port\":7000,\"control_port\":7001,\"state\":\"leaving\"}", \
                i, i % 9, i % services + 1, i / 250, i % 250
        print "]}" }' "$fleet_dir/list/vms.json" >"$fleet_dir/vms.json.new"
    mv "$fleet_dir/vms.json.new" "$fleet_dir/vms.json"
}

node_ticks() { # VM
    awk '{ sub(/.*\) /, ""); print $12 + $13 }' "/proc/${fleet_pid[$1]}/stat"
}

proc_status() { awk -v key="$2:" '$1 == key { print $2 }' "/proc/${fleet_pid[$1]}/status"; }

platform_stats() { curl -s "http://127.0.0.1:$fleet_platform_port/stats"; }

platform_calls() { platform_stats | sed 's/.*"calls":\([0-9]*\).*/\1/'; }

# Lists and bundles accepted so far by all nodes.
accepted_changes() {
    local vm
    for vm in "${fleet_vms[@]}"; do
        grep -cE 'what=(list|config)_accepted' "$fleet_dir/$vm.log" || true
    done | awk '{ n += $1 } END { print n }'
}

# measure_window FLEET STEP VMS...: processor time, memory and platform calls over one window; the
# commands on standard input run inside it.
measure_window() {
    local fleet=$1 step=$2 vm start calls seconds accepted
    shift 2
    declare -A before=()
    accepted=$(accepted_changes)
    calls=$(platform_calls)
    start=$(date +%s%N)
    for vm in "$@"; do before[$vm]=$(node_ticks "$vm"); done
    eval "$(cat)"
    while (($(date +%s%N) < start + window * 1000000000)); do sleep 0.2; done
    seconds=$(awk -v a="$start" -v b="$(date +%s%N)" 'BEGIN { print (b - a) / 1e9 }')
    calls=$(($(platform_calls) - calls))
    accepted=$(($(accepted_changes) - accepted))
    emit "$(for vm in "$@"; do
        echo "$(($(node_ticks "$vm") - before[$vm])) $(proc_status "$vm" VmRSS)" \
            "$(proc_status "$vm" RssAnon) $(proc_status "$vm" Threads)"
    done | sort -n | awk -v fleet="$fleet" -v step="$step" -v seconds="$seconds" -v hz="$ticks" \
        -v calls="$calls" -v accepted="$accepted" '{
            cpu[NR] = 100 * $1 / hz / seconds; sum += cpu[NR]; rss += $2; anon += $3
            if ($2 > peak) peak = $2
            threads += $4 }
        END { printf "{\"name\":\"fleet\",\"fleet\":\"%s\",\"step\":\"%s\",\"nodes\":%d,\"seconds\":%.2f,\"cpu_percent_mean\":%.3f,\"cpu_percent_median\":%.3f,\"cpu_percent_max\":%.3f,\"rss_kb_mean\":%.0f,\"rss_kb_max\":%d,\"rss_anon_kb_mean\":%.0f,\"threads_mean\":%.1f,\"platform_calls_per_s\":%.2f,\"accepted_per_node\":%.2f}", \
            fleet, step, NR, seconds, sum / NR, cpu[int((NR + 1) / 2)], cpu[NR], rss / NR, peak, \
            anon / NR, threads / NR, calls / seconds, accepted / NR }')" "$fleet"
}

# trace_traffic FLEET STEP VM: payload, connections and system calls of one node in a window of 10 s,
# counted by the kernel's tracepoints. Processor time is not measured meanwhile. Each message between
# nodes and each call to the platform has its own connection, so that connections count messages.
# Standard input as in measure_window.
trace_traffic() {
    local fleet=$1 step=$2 pid=${fleet_pid[$3]} data="$fleet_dir/$3.$2" tracers start seconds
    if ! command -v perf >/dev/null; then
        emit "{\"name\":\"traffic\",\"fleet\":\"$fleet\",\"step\":\"$step\",\"not_run\":\"no perf\"}" \
            "$fleet"
        return
    fi
    perf record -q -o "$data.perf" -p "$pid" -e syscalls:sys_exit_sendto \
        -e syscalls:sys_exit_sendmsg -e syscalls:sys_exit_recvfrom -e syscalls:sys_enter_connect \
        -e syscalls:sys_exit_accept -e syscalls:sys_exit_accept4 -- sleep 10 >/dev/null &
    tracers=($!)
    perf stat -x, -o "$data.stat" -p "$pid" -e raw_syscalls:sys_enter -e context-switches \
        -- sleep 10 &
    tracers+=($!)
    eval "$(cat)"
    wait "${tracers[@]}"
    emit "$(perf script -i "$data.perf" -F event,trace 2>/dev/null | awk -v fleet="$fleet" \
        -v step="$step" -v stat="$data.stat" '
        function value(hex, i, n) {
            n = 0
            sub(/^0x/, "", hex)
            if (length(hex) > 8) return -1 # A negative result.
            for (i = 1; i <= length(hex); ++i)
                n = n * 16 + index("0123456789abcdef", substr(hex, i, 1)) - 1
            return n
        }
        /sys_enter_connect/ { ++connects; next }
        { v = value($NF) }
        /sys_exit_accept/ { accepts += v >= 0; next }
        # Requests of 20 bytes are those of the resolver to the kernel (RTM_GETADDR).
        /sys_exit_sendto/ && v == 20 { ++resolver; next }
        /sys_exit_send/ { if (v > 0) { sent += v; ++sends }; next }
        /sys_exit_recvfrom/ { if (v > 0) received += v }
        END {
            while ((getline line < stat) > 0) {
                split(line, f, ",")
                if (f[3] ~ /sys_enter/) calls = f[1]
                if (f[3] ~ /context/) switches = f[1]
            }
            printf "{\"name\":\"traffic\",\"fleet\":\"%s\",\"step\":\"%s\",\"seconds\":10,\"requests_out_per_s\":%.1f,\"requests_in_per_s\":%.1f,\"sent_bytes_per_s\":%.0f,\"received_bytes_per_s\":%.0f,\"resolver_requests_per_s\":%.1f,\"system_calls_per_s\":%.0f,\"context_switches_per_s\":%.0f}", \
                fleet, step, connects / 10, accepts / 10, sent / 10, received / 10, resolver / 10, \
                calls / 10, switches / 10 }')" "$fleet"
}

publish_bundle() { # NUMBER: the same objects as the next version
    "$fleet_bin/trefoilhold/trefoilhold" build --base "$fleet_dir/bundle.toml" \
        --out "$fleet_dir/next-$1.toml" "$work/$fleet/samples/scale/objects.toml" >/dev/null
    mv "$fleet_dir/next-$1.toml" "$fleet_dir/bundle.toml"
}

# Waits until every node of the fleet has a list and a bundle; prints how long the last one took.
# A node whose first platform call fails tries again only after 15 to 45 s.
await_configuration() {
    local vm status start=$SECONDS
    for vm in "${fleet_vms[@]}"; do
        while ((SECONDS - start < 70)); do
            status=$(curl -s "http://${fleet_control[$vm]}/status" || true)
            [[ ! $status =~ \"list_revision\":[1-9].*\"version\":[1-9] ]] || break
            sleep 0.3
        done
    done
    echo $((SECONDS - start))
}

# count_leases FLEET STEP VMS...: how many of the nodes hold the lease of their service.
count_leases() {
    local fleet=$1 step=$2 vm held=0
    shift 2
    for vm in "$@"; do
        ! curl -s -m 2 "http://${fleet_control[$vm]}/status" | grep -q '"held":true' ||
            held=$((held + 1))
    done
    emit "{\"name\":\"leases\",\"fleet\":\"$fleet\",\"step\":\"$step\",\"nodes\":$#,\"held\":$held}" "$fleet"
}

stop_fleet() {
    local name
    for name in "${!fleet_pid[@]}"; do kill -CONT "${fleet_pid[$name]}" 2>/dev/null || true; done
    fleet_stop
}

# measure_fleet FLEET ZONES SERVICE:TARGETS...
measure_fleet() {
    fleet=$1
    write_deployment "$work/$fleet" "${@:2}"
    trap stop_fleet EXIT
    cd "$work/$fleet"
    fleet_start scale "$work/$fleet/run" true >/dev/null
    touch started
    emit "{\"name\":\"start\",\"fleet\":\"$fleet\",\"seconds_until_configured\":$(await_configuration)}" "$fleet"
    sleep "$settle"
    count_leases "$fleet" idle "${fleet_vms[@]}"
    measure_window "$fleet" idle "${fleet_vms[@]}" </dev/null
    # The last VM of the list; in the fleets of 40 it is not a watcher of the platform, as its
    # traffic to the platform shows.
    trace_traffic "$fleet" idle "${fleet_vms[-1]}" </dev/null
    publish_full_list 2
    sleep 4
    measure_window "$fleet" full-list "${fleet_vms[@]}" </dev/null
    measure_window "$fleet" "list-changes-$changes" "${fleet_vms[@]}" <<<'
        for i in $(seq 3 $((changes + 2))); do publish_full_list "$i"; sleep "$change_interval_s"; done'
    trace_traffic "$fleet" list-changes-3 "${fleet_vms[-1]}" <<<'
        for i in 21 22 23; do publish_full_list "$i"; sleep "$change_interval_s"; done'
    measure_window "$fleet" "bundle-changes-$changes" "${fleet_vms[@]}" <<<'
        for i in $(seq "$changes"); do publish_bundle "$i"; sleep "$change_interval_s"; done'
    trace_traffic "$fleet" bundle-changes-3 "${fleet_vms[-1]}" <<<'
        for i in 21 22 23; do publish_bundle "$i"; sleep "$change_interval_s"; done'
    emit "{\"name\":\"sizes\",\"fleet\":\"$fleet\",\"list_entries\":$list_size,\"list_bytes\":$(stat -c %s "$fleet_dir/vms.json"),\"bundle_bytes\":$(stat -c %s "$fleet_dir/bundle.toml")}" "$fleet"
    if [[ $2 == *' '* ]]; then
        measure_zone_loss
    fi
}

# Stops every process of the first zone, so that connections to it are neither refused nor
# answered, as when an availability zone is lost.
measure_zone_loss() {
    local vm zone=${fleet_zone[${fleet_vms[0]}]}
    local left=()
    count_leases "$fleet" before-zone-loss "${fleet_vms[@]}"
    for vm in "${fleet_vms[@]}"; do
        if [ "${fleet_zone[$vm]}" = "$zone" ]; then
            fleet_kill "$vm" STOP
            fleet_kill "upstream-$vm" STOP
        else
            left+=("$vm")
        fi
    done
    sleep 5
    count_leases "$fleet" zone-lost-5s "${left[@]}"
    measure_window "$fleet" zone-lost "${left[@]}" </dev/null
    count_leases "$fleet" zone-lost-20s "${left[@]}"
    trace_traffic "$fleet" zone-lost "${left[-1]}" </dev/null
    count_leases "$fleet" zone-lost-30s "${left[@]}"
}

# Latency that nodes add: one upstream without service time, reached directly, through its own node,
# and through another node that forwards. The three paths run at the same time at the same rate.
measure_latency() {
    fleet=latency
    write_deployment "$work/latency" zone-0 service-001:1 service-002:1
    trap stop_fleet EXIT
    cd "$work/latency"
    fleet_start scale "$work/latency/run" true >/dev/null
    local entry=service-001-1 target=service-002-1 rate path round pids
    declare -A address=([direct]=${fleet_upstream[$target]} [one_node]=${fleet_call[$target]}
        [two_nodes]=${fleet_call[$entry]})
    emit "{\"name\":\"start\",\"fleet\":\"$fleet\",\"seconds_until_configured\":$(await_configuration)}" "$fleet"
    sleep 5
    for rate in 100 1000; do
        for path in direct one_node two_nodes; do
            cat >"$path-$rate.toml" <<END
seed = 7
impatient = false
entries = ["${address[$path]}"]
[[flow]]
kind = "kind-002"
group = "group-1"
service = "service-002"
rate = $rate
deadline_ms = 2000
expect = "service-002[%]"
[[phase]]
name = "all"
ms = 30000
END
        done
        local before start
        declare -A before=()
        for round in warm_up measured; do
            # A first run opens the connections and lets the limit ramp up.
            [ "$round" = measured ] || sed -i 's/ms = 30000/ms = 3000/' ./*"-$rate.toml"
            [ "$round" = warm_up ] || sed -i 's/^ms = 3000/ms = 30000/' ./*"-$rate.toml"
            before=([$entry]=$(node_ticks $entry) [$target]=$(node_ticks $target))
            pids=()
            for path in direct one_node two_nodes; do
                "$fleet_bin/load_driver/load_driver" --workload "$path-$rate.toml" \
                    --out "$path-$rate-$round.json" &
                pids+=($!)
            done
            wait "${pids[@]}"
        done
        for path in direct one_node two_nodes; do
            emit "$(tr -d '\n' <"$path-$rate-measured.json" | awk -v path="$path" -v rate="$rate" '
                function field(name) {
                    if (!match($0, "\"" name "\" *: *[0-9.e-]+")) return "null"
                    text = substr($0, RSTART, RLENGTH); sub(/.*: */, "", text); return text }
                { reasons = "{}"
                  if (match($0, /"reasons" *: *\{[^}]*\}/)) {
                      reasons = substr($0, RSTART, RLENGTH); sub(/^"reasons" *: */, "", reasons)
                      gsub(/[ \t]+/, "", reasons) }
                  printf "{\"name\":\"latency\",\"path\":\"%s\",\"rate_per_path\":%d,\"offered\":%s,\"complete\":%s,\"p50_ms\":%s,\"p99_ms\":%s,\"p999_ms\":%s,\"refusals\":%s}", \
                    path, rate, field("offered"), field("complete"), field("p50_ms"), \
                    field("p99_ms"), field("p999_ms"), reasons }')" latency
        done
        # The target serves the calls of both paths, the entry those of one.
        emit "$(awk -v e="$(($(node_ticks $entry) - before[$entry]))" -v hz="$ticks" -v rate="$rate" \
            -v t="$(($(node_ticks $target) - before[$target]))" 'BEGIN {
            printf "{\"name\":\"call_cpu\",\"rate_per_path\":%d,\"seconds\":30,\"entry_cpu_s\":%.2f,\"target_cpu_s\":%.2f}", \
                rate, e / hz, t / hz }')" latency
    done
    emit "{\"name\":\"call_memory\",\"entry_rss_kb\":$(proc_status $entry VmRSS),\"target_rss_kb\":$(proc_status $target VmRSS)}" latency
}

{
    echo "{\"name\":\"run\",\"date\":\"$(date -u +%FT%TZ)\",\"commit\":\"$(git rev-parse --short HEAD)\",\"cores\":$(nproc),\"load_average\":\"$(cut -d' ' -f1-3 /proc/loadavg)\",\"window_s\":$window}"
    for program in slopes once_slopes spread_slopes; do
        if [ -x "$fleet_bin/$program/$program" ]; then
            "$fleet_bin/$program/$program"
        else
            echo "{\"name\":\"$program\",\"not_run\":\"not built\"}"
        fi
    done
} | tee "$work/0-slopes.jsonl"

# start_part NAME COMMAND...: runs a part in the background once the previous one has its ports.
parts=()
start_part() {
    ("${@:2}") >"$results/$1.log" 2>&1 &
    parts+=($!)
    for _ in $(seq 150); do
        [ ! -e "$work/$1/started" ] || break
        sleep 0.2
    done
    sleep 3
}
if [ -z "${CAPACITY_ONLY_LATENCY:-}" ]; then
    start_part one-service-5 measure_fleet one-service-5 zone-0 service-001:5
    start_part one-service-15 measure_fleet one-service-15 zone-0 service-001:15
    start_part one-service-40 measure_fleet one-service-40 "zone-0 zone-1 zone-2" service-001:40
    start_part two-services-20 measure_fleet two-services-20 "zone-0 zone-1 zone-2" \
        service-001:20 service-002:20
    # One zone of nine, as at the design scale: 2 of 18 nodes are lost.
    start_part nine-zones-18 measure_fleet nine-zones-18 \
        "zone-0 zone-1 zone-2 zone-3 zone-4 zone-5 zone-6 zone-7 zone-8" service-001:18
    for part in "${parts[@]}"; do wait "$part" || echo "a part failed, see $results" >&2; done
fi
(measure_latency) >"$results/latency.log" 2>&1 || echo "latency failed, see $results" >&2
cat "$work"/*.jsonl >"$results/results.jsonl"
cat "$results/results.jsonl"
