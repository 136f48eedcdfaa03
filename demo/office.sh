#!/usr/bin/env bash
# Starts the small deployment of make_office.py, and stops all its processes at the end.
# Usage: demo/office.sh up    until Ctrl-C
#        demo/office.sh demo  send a few requests, then stop
set -u
cd "$(dirname "$0")/.."
mode=${1:-demo}
folder=$PWD/.demo
bin=$PWD/.venv/bin
export UV_USE_IO_URING=0
pids=()

stop_all() {
    trap - EXIT INT TERM
    [ ${#pids[@]} -gt 0 ] && kill -TERM "${pids[@]}" 2>/dev/null
    for _ in $(seq 50); do
        alive=0
        for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
        [ $alive = 0 ] && break
        sleep 0.1
    done
    [ ${#pids[@]} -gt 0 ] && kill -KILL "${pids[@]}" 2>/dev/null
    wait 2>/dev/null
}
trap stop_all EXIT
trap 'exit 130' INT TERM

fail() {
    echo "office: $1" >&2
    exit 1
}

start() {
    local program=$1 name=$2
    shift 2
    "$bin/$program" --settings "$folder/settings/$name.json" "$@" 2>"$folder/logs/$name.log" &
    pids+=($!)
}

ctl() { "$bin/chestnutfallctl" --settings "$folder/operator.json" "$@"; }

all_alive() {
    local pid
    for pid in "${pids[@]}"; do
        kill -0 "$pid" 2>/dev/null || fail "a process ended; see the logs in .demo/logs (is a port taken?)"
    done
}

wait_for() {
    local what=$1
    shift
    for _ in $(seq 100); do
        "$@" >/dev/null 2>&1 && return 0
        all_alive
        sleep 0.1
    done
    fail "$what did not come up in time; see .demo/logs"
}

answers() { "$bin/python" demo/http_get.py "$1"; }

rm -rf "$folder"
mkdir -p "$folder/logs"
"$bin/python" demo/make_office.py "$folder" || fail "the settings could not be written"
for n in 1 2 3; do start chestnutfall-controller "control-$n" --bootstrap; done
wait_for "a leader" ctl status
ctl config apply "$folder/base.json" --overlays "$folder/overlays" --note "first configuration" \
    >"$folder/logs/apply.log" 2>&1 || fail "the configuration was refused; see .demo/logs/apply.log"
for n in 1 2 3 4 5 6 7 8 9; do start chestnutfall-gateway "entry-$n"; done
for n in 1 2 3; do start chestnutfall-engine "engine-$n"; done
start chestnutfall-plain plain-1
for n in 1 2 3 4 5 6 7 8 9; do
    wait_for "gateway $n" answers "http://127.0.1.$n:8080/readyz"
done
all_alive
{
    echo "CHESTNUTFALL_URL=http://127.0.1.1:8080/v1"
    echo "CHESTNUTFALL_KEY=$(cat "$folder/keys/caller")"
    echo "CHESTNUTFALL_MODEL=tejas@2"
} >"$folder/env"
"$bin/python" demo/adapter.py "$folder" || fail "the adapter could not be created"
if [ "$mode" = up ]; then
    echo "office: running; settings for clients are in .demo/env; Ctrl-C stops it"
    while sleep 1; do all_alive; done
fi
"$bin/python" demo/caller.py "$folder" || fail "a request failed; see .demo/logs"
ctl config verify || fail "the configuration in force is not the accepted one"
echo "office: done"
