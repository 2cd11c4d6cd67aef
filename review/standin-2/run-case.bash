# Sourced by the scripts of the cases: run_case FOLDER STAND-IN INSTANCES.
# Starts the stand-in, which plays store, backend servers and callers, and the
# instances, each by the command of the deploy file. Ends all of them, and exits
# with what the stand-in says: 1 broken, 0 held, 2 could not run.

run_case() {
    local record=$1/record.txt driver=target/review-2/$2 instances=$3
    local program=target/waxwing-platform-node
    pids=()
    if [ ! -x "$program" ] || [ ! -x "$driver" ]; then
        echo "not built: the line build of deploy/system.toml, review/build-2.sh"
        exit 2
    fi
    work=$(mktemp -d)
    trap end_case EXIT
    "$driver" "$work" "$record" &
    local driver_pid=$!
    pids+=("$driver_pid")
    local number file tries
    for ((number = 0; number < instances; number++)); do
        file=$work/node-$number.json
        for ((tries = 0; tries < 100; tries++)); do
            [ ! -f "$file" ] || break
            sleep 0.1
        done
        "$program" "--settings=$file" >"$work/node-$number.log" 2>&1 &
        pids+=("$!")
        disown "$!" # its end is not told on the terminal
    done
    local code=0
    wait "$driver_pid" || code=$?
    [ "$code" = 0 ] || [ "$code" = 1 ] || code=2
    exit "$code"
}

end_case() {
    local pid
    for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do
        while kill -0 "$pid" 2>/dev/null; do sleep 0.05; done
    done
    rm -rf "$work"
}
