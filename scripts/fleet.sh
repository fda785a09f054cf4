# Functions that start a deployment of stand-ins and nodes on loopback. To be sourced.
#
# fleet_start DEPLOYMENT DIR CONTROL   DEPLOYMENT: a folder of samples/; CONTROL: true or false
# fleet_stop                           ends every process that fleet_start started
#
# samples/fleets/DEPLOYMENT/topology.tsv has one line for each service:
#   service targets slots service_time_ms calls      (calls: kind=service,... or -)

fleet_bin=${TREFOIL_BUILD_DIR:-build}/apps
declare -A fleet_pid=()      # process name -> pid
declare -A fleet_call=()     # vm -> ip:port of its node's call port
declare -A fleet_control=()  # vm -> ip:port of its node's control port
declare -A fleet_upstream=() # vm -> ip:port of its upstream
declare -A fleet_command=()  # process name -> command line, to start it again
fleet_vms=()

port_is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# Prints the first of 200 consecutive free ports.
free_port_range() {
    local base port
    for base in $(seq 20000 400 32000); do
        for port in $(seq "$base" 7 $((base + 199))); do
            port_is_free "$port" || continue 2
        done
        echo "$base"
        return
    done
    echo "no free port range" >&2
    return 1
}

# fleet_run NAME COMMAND...: starts a process and remembers how to start it again.
fleet_run() {
    local name=$1
    shift
    fleet_command[$name]="$*"
    "$@" >>"$fleet_dir/$name.log" 2>&1 &
    fleet_pid[$name]=$!
}

fleet_restart() {
    # shellcheck disable=SC2086
    fleet_run "$1" ${fleet_command[$1]}
}

fleet_kill() { # NAME [SIGNAL]
    kill "-${2:-KILL}" "${fleet_pid[$1]}" 2>/dev/null || true
}

fleet_wait() { # NAME: waits for the end of a process and returns its exit code
    local code=0
    wait "${fleet_pid[$1]}" 2>/dev/null || code=$?
    unset "fleet_pid[$1]"
    return "$code"
}

write_node_settings() { # VM ZONE SERVICE CONTROL CALL CONTROL_PORT UPSTREAM
    cat >"$fleet_dir/$1.toml" <<EOF
[node]
cluster = "$(basename "$fleet_dir")"
vm = "$1"
availability_zone = "$2"
service = "$3"
call_port = $5
control_port = $6
control = $4

[upstream]
port = $7

[platform]
port = $fleet_platform_port
EOF
}

# Writes the VM list with the given revision; VMs named as further arguments are leaving.
write_vm_list() {
    local revision=$1 vm first=1
    shift
    {
        printf '{"revision":%s,"vms":[' "$revision"
        for vm in "${fleet_vms[@]}"; do
            local state=live
            [[ " $* " != *" $vm "* ]] || state=leaving
            [ "$first" = 1 ] || printf ','
            first=0
            printf '{"vm":"%s","availability_zone":"%s","service":"%s","address":"127.0.0.1","call_port":%s,"control_port":%s,"state":"%s"}' \
                "$vm" "${fleet_zone[$vm]}" "${fleet_service[$vm]}" "${fleet_call[$vm]#*:}" \
                "${fleet_control[$vm]#*:}" "$state"
        done
        printf ']}\n'
    } >"$fleet_dir/vms.json.new"
    mv "$fleet_dir/vms.json.new" "$fleet_dir/vms.json"
}

fleet_start() {
    local deployment=$1 control=$3
    fleet_dir=$2
    mkdir -p "$fleet_dir"
    declare -gA fleet_zone=() fleet_service=()
    fleet_vms=()
    local port
    port=$(free_port_range)
    fleet_platform_port=$((port++))
    local zones
    read -ra zones <"samples/fleets/$deployment/zones"
    "$fleet_bin/trefoilhold/trefoilhold" build --base none --out "$fleet_dir/bundle.toml" \
        "${fleet_objects:-samples/$deployment}"/*.toml
    local service targets slots time calls i index=0
    while IFS=$'\t' read -r service targets slots time calls; do
        [[ $service != \#* ]] || continue
        for i in $(seq 1 "$targets"); do
            local vm="$service-$i"
            fleet_vms+=("$vm")
            fleet_service[$vm]=$service
            fleet_zone[$vm]=${zones[$((index++ % ${#zones[@]}))]}
            fleet_call[$vm]=127.0.0.1:$((port++))
            fleet_control[$vm]=127.0.0.1:$((port++))
            fleet_upstream[$vm]=127.0.0.1:$((port++))
            local call_options=()
            [ "$calls" = - ] || for call in ${calls//,/ }; do call_options+=(--call "$call"); done
            write_node_settings "$vm" "${fleet_zone[$vm]}" "$service" "$control" \
                "${fleet_call[$vm]#*:}" "${fleet_control[$vm]#*:}" "${fleet_upstream[$vm]#*:}"
            fleet_run "upstream-$vm" "$fleet_bin/stand_in_upstream/stand_in_upstream" \
                --port "${fleet_upstream[$vm]#*:}" --service "$service" --slots "$slots" \
                --service-time-ms "$time" --node "${fleet_call[$vm]}" --seed "$index" \
                "${call_options[@]}"
        done
    done <"samples/fleets/$deployment/topology.tsv"
    write_vm_list 1
    echo up >"$fleet_dir/platform.control"
    fleet_run platform "$fleet_bin/stand_in_platform/stand_in_platform" \
        --config "$fleet_dir/bundle.toml" --list "$fleet_dir/vms.json" \
        --control "$fleet_dir/platform.control" --port "$fleet_platform_port"
    local vm
    for vm in "${fleet_vms[@]}"; do
        fleet_run "$vm" "$fleet_bin/trefoilholdd/trefoilholdd" --settings "$fleet_dir/$vm.toml"
    done
}

# fleet_workload TEMPLATE OUT: writes a workload with this fleet's addresses. In the template,
# @slow(SERVICE,FACTOR)@ stands for the requests that slow every upstream of a service.
fleet_workload() {
    local vm
    {
        printf 'entries = ['
        for vm in "${fleet_vms[@]}"; do
            # A node that was shut down is no entry any more.
            [ -z "${fleet_pid[$vm]:-}" ] || printf '"%s", ' "${fleet_call[$vm]}"
        done
        printf ']\n'
        while IFS= read -r line; do
            while [[ $line =~ @slow\(([a-z_]+),([0-9.]+)\)@ ]]; do
                local hooks=""
                for vm in "${fleet_vms[@]}"; do
                    [ "${fleet_service[$vm]}" = "${BASH_REMATCH[1]}" ] || continue
                    hooks+="\"${fleet_upstream[$vm]}/stand-in/set?slowdown=${BASH_REMATCH[2]}\", "
                done
                line=${line/"${BASH_REMATCH[0]}"/$hooks}
            done
            printf '%s\n' "$line"
        done <"$1"
        for vm in "${fleet_vms[@]}"; do
            printf '[[upstream]]\nservice = "%s"\naddress = "%s"\n' "${fleet_service[$vm]}" \
                "${fleet_upstream[$vm]}"
        done
    } >"$2"
}

fleet_ready() { # WORKLOAD
    "$fleet_bin/load_driver/load_driver" --workload "$1" --wait-ready
}

fleet_stop() {
    local name
    for name in "${!fleet_pid[@]}"; do kill "${fleet_pid[$name]}" 2>/dev/null || true; done
    for name in "${!fleet_pid[@]}"; do wait "${fleet_pid[$name]}" 2>/dev/null || true; done
    fleet_pid=()
}
