# Functions that start a small fleet on this machine: stand-in platform and
# backend servers, entry instances. Sourced by ./demo and tools/measure-*.
#
# The caller sets `build` (folder of the programs) and calls begin_fleet, then
# add_service for each service, begin_platform, and add_instance for each entry
# instance. Everything ends when the script does.

fleet_keep=false
pids=()
service_blocks=()
instance_names=()
instance_pids=()
steer_list=""
admin_list=""

end_fleet() {
    local pid
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    if $fleet_keep; then
        echo "settings and logs: $work"
    else
        rm -rf "$work"
    fi
}

# begin_fleet PORTS: finds PORTS neighbouring free ports.
begin_fleet() {
    work=$(mktemp -d)
    trap end_fleet EXIT
    next_port=$(free_ports "$1")
}

port_is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# The first of so many neighbouring free ports below the range of outgoing
# connections.
free_ports() {
    local base port
    for _ in $(seq 50); do
        base=$((18000 + RANDOM % 12000))
        for port in $(seq "$base" $((base + $1))); do
            port_is_free "$port" || continue 2
        done
        echo "$base"
        return
    done
    echo "no free ports" >&2
    exit 1
}

take_ports() {
    taken_port=$next_port
    next_port=$((next_port + $1))
}

# start NAME PROGRAM ARGS...: in the background, output to NAME.out and
# NAME.log, and waits for the line that says it is ready.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    started_pid=$!
    pids+=("$started_pid")
    for _ in $(seq 400); do
        [ ! -s "$work/$name.out" ] || return 0
        sleep 0.05
    done
    echo "$name did not start:" >&2
    cat "$work/$name.log" >&2
    exit 1
}

# add_service NAME COUNT SLOTS SERVICE_MS NATURE OWNERS HEDGES [OPTIONS...]:
# COUNT stand-in backend servers in one process, alternating data centres.
add_service() {
    local name=$1 count=$2 slots=$3 service_ms=$4 nature=$5 owners=$6 hedges=$7
    shift 7
    take_ports "$count"
    local first=$taken_port i list="" method=GET
    [ "$nature" = retriable ] || method=POST
    start "$name" "$build/test/standin-backend" --name="$name" \
        --count="$count" --port="$first" --slots="$slots" \
        --service-ms="$service_ms" "$@"
    backend_pid=$started_pid
    backend_list=""
    for ((i = 0; i < count; i++)); do
        backend_list+="${backend_list:+,}127.0.0.1:$((first + i))"
        list+="${list:+, }{\"name\": \"$name-$((i + 1))\", "
        list+="\"host\": \"127.0.0.1\", \"port\": $((first + i)), "
        list+="\"data_centre\": \"${centres[$((i % ${#centres[@]}))]}\", "
        list+="\"slots\": $slots, \"connections\": 200}"
    done
    service_blocks+=("{\"name\": \"$name\", \"typical_time_ms\": $service_ms,
     \"owners\": $owners,
     \"budgets\": {\"retries\": 0.1, \"hedges\": $hedges,
                 \"probes_per_second\": 0.5},
     \"classes\": [{\"name\": \"all\", \"methods\": [\"$method\"],
                  \"path_prefix\": \"/\", \"nature\": \"$nature\",
                  \"deadline_ms\": 2000, \"queue_limit\": 2000}],
     \"backend_servers\": [$list]}")
}

write_configuration() {
    local centre list="" services="" block
    for centre in "${centres[@]}"; do
        list+="${list:+, }{\"name\": \"$centre\", \"region\": \"one\"}"
    done
    for block in "${service_blocks[@]}"; do
        services+="${services:+,
    }$block"
    done
    cat <<EOF
{
  "schema_version": 1,
  "data_centres": [$list],
  "tenants": [{"name": "leagues", "share": 2},
              {"name": "assignors", "share": 3}],
  "request_keys": {"lifetime_ms": 600000, "limit": 200000},
  "addresses": {"keep_min_ms": 2000, "keep_max_ms": 8000},
  "services": [
    $services
  ]
}
EOF
}

# begin_platform INSTANCES: starts the platform and publishes the file and the
# list of so many entry instances, six ports each.
begin_platform() {
    take_ports 1
    platform=$taken_port
    start platform "$build/test/standin-platform" --port="$platform"
    take_ports $((6 * $1))
    instance_port=$taken_port
    local i port list=""
    for ((i = 0; i < $1; i++)); do
        port=$((instance_port + 6 * i))
        instance_names+=("${centres[$((i % ${#centres[@]}))]}-$((i + 1))")
        list+="${list:+,
}{\"name\": \"${instance_names[$i]}\",
 \"data_centre\": \"${instance_names[$i]%-*}\", \"host\": \"127.0.0.1\",
 \"caller_port\": $port, \"steer_port\": $((port + 1)),
 \"control_port\": $((port + 2)),
 \"state\": \"live\"}"
    done
    write_configuration >"$work/configuration.json"
    echo "{\"entry_instances\": [$list], \"backend_servers\": []}" \
        >"$work/instances.json"
    publish configuration "$work/configuration.json"
    publish instances "$work/instances.json"
}

publish() { # NAME FILE
    curl -fsS -o "$work/published" -X PUT --data-binary "@$2" \
        "http://127.0.0.1:$platform/control/values/$1"
}

write_settings() { # INDEX
    local name=${instance_names[$1]} port=$((instance_port + 6 * $1))
    cat <<EOF
{
  "settings_version": 2,
  "instance": {"name": "$name", "data_centre": "${name%-*}",
               "host": "127.0.0.1", "metrics_port": $((port + 5))},
  "platform": {"host": "127.0.0.1", "port": $platform},
  "peers": {"shared_key": "a key for this machine only"},
  "entry": {"caller_port": $port},
  "steer": {"steer_port": $((port + 1))},
  "control": {"control_port": $((port + 2)), "admin_port": $((port + 4)),
              "admin_token": "a token for this machine only"}
}
EOF
}

# add_instance INDEX: starts an entry instance and remembers its process id.
add_instance() {
    local name=${instance_names[$1]}
    write_settings "$1" >"$work/$name.json"
    start "$name" "$build/waxwing-node" --settings="$work/$name.json"
    instance_pids+=("$started_pid")
    local port=$((instance_port + 6 * $1))
    steer_list+="${steer_list:+,}127.0.0.1:$((port + 1))"
    admin_list+="${admin_list:+ }127.0.0.1:$((port + 4))"
}

# await_steering SERVICE MEMBERS: until every instance knows all members.
await_steering() {
    local service=$1 i port
    for ((i = 0; i < $2; i++)); do
        port=$((instance_port + 6 * i + 1))
        for _ in $(seq 400); do
            if curl -fsS "http://127.0.0.1:$port/v1/addresses?service=$service" \
                >"$work/steering" 2>/dev/null &&
                [ "$(grep -o '"instance"' "$work/steering" | wc -l)" -ge \
                    "$(($2 < 4 ? $2 : 4))" ]; then
                continue 2
            fi
            sleep 0.05
        done
        echo "no addresses for $service within 20 s; logs:" >&2
        tail -n 20 "$work"/*.log >&2
        exit 1
    done
}
