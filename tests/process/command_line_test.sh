#!/bin/bash
# Tests the command lines of the programs: exit codes and messages.
set -u
programs=$1
cd "$(dirname "$0")/../.."
work=$(mktemp -d)
stores=()
trap 'kill "${stores[@]}" 2> /dev/null; wait 2> /dev/null; rm -rf "$work"' EXIT
passed=0
failed=0

# expect NAME CODE TEXT COMMAND...: checks that the command exits with CODE and prints TEXT.
expect() {
    local name=$1 code=$2 text=$3 output result
    shift 3
    output=$("$@" 2>&1)
    result=$?
    if [ "$result" = "$code" ] && [[ $output == *"$text"* ]]; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
        echo "FAILED $name: exit code $result (expected $code), output: $output"
    fi
}

# start_store FLAGS...: starts a stand-in store with the configuration, and sets `store` to its address.
start_store() {
    "$programs/dewcrank-standin-store" --config tests/process/config.json "$@" > "$work/store.out" &
    stores+=($!)
    store=""
    while [ -z "$store" ]; do
        sleep 0.05
        store=$(head -1 "$work/store.out")
    done
    : > "$work/store.out"
}

cat > "$work/node.toml" << 'EOF'
name = "n1"
zone = "north"
service = "desk"
[listen]
callers = "127.0.0.1:1"
nodes = "127.0.0.1:2"
heartbeats = "127.0.0.1:3"
readiness = "127.0.0.1:4"
[instance]
address = "127.0.0.1:5"
[store]
address = "127.0.0.1:6"
EOF
node="$programs/dewcrank-sidecar"
expect "settings are checked and printed" 0 "zone = north" "$node" --settings "$work/node.toml" --check-settings
{ echo 'speed = 1'; cat "$work/node.toml"; } > "$work/bad.toml"
expect "unknown key" 2 'bad.toml:1: speed: unknown key' "$node" --settings "$work/bad.toml"
sed '/^name/d' "$work/node.toml" > "$work/short.toml"
expect "missing key" 2 'name: is missing' "$node" --settings "$work/short.toml"
for ports in 7620 7635,7620 0,5 7620,65536 7620,x; do
    expect "fresh ports $ports" 2 "fresh-ports: '$ports' is not FIRST,LAST" "$node" --settings "$work/node.toml" \
        --check-settings "--fresh-ports=$ports"
done
for ports in 7620,7635 ""; do
    expect "fresh ports '$ports'" 0 "zone = north" "$node" --settings "$work/node.toml" \
        --check-settings "--fresh-ports=$ports"
done
expect "missing file" 2 'nowhere.toml' "$node" --settings "$work/nowhere.toml"
# Guards against a node that is ended by a reload signal while it starts. It opens a pipe in place of its settings, which
# holds it up until the signal was sent; then it says that it cannot read them.
reload_while_starting() {
    mkfifo "$work/settings.fifo"
    "$node" --settings "$work/settings.fifo" &
    local process=$! tries=0
    until grep -q '^SigIgn:.*[13579bdf]$' "/proc/$process/status" || [ $((tries += 1)) = 200 ]; do
        sleep 0.01
    done
    kill -HUP "$process"
    exec 3<> "$work/settings.fifo"
    wait "$process"
}
expect "a reload signal during the start is ignored" 2 "settings.fifo" reload_while_starting
expect "unknown flag" 2 'flags:' "$node" --no-such-flag 1
expect "no settings" 2 '--settings' "$node"
sed 's/readiness = .*/readiness = "192.0.2.1:4"/' "$work/node.toml" > "$work/far.toml"
expect "an address of another machine" 3 'http.listen: 192.0.2.1:4' "$node" --settings "$work/far.toml"

start_store
ctl() { "$programs/dewcrank" --store "$store" "$@"; }
expect "show" 0 'route/browse' ctl table show
expect "show as json" 0 '"timeout_ms": "1200"' ctl table show --output json
expect "columns" 0 'refused last' ctl table columns
expect "set" 0 'saved: version=8' ctl table set route/browse.priority 5
expect "set took effect" 0 '"priority": "5"' ctl table show --output json
expect "weights" 0 'saved: version=9' ctl table set route/browse.services 'desk:90 leaf:10'
expect "weights took effect" 0 'desk:90 leaf:10' ctl table show
expect "bad value" 2 "route/browse.priority: got '9', allowed: a whole number from 0 to 7" \
    ctl table set route/browse.priority 9
expect "bad column" 2 'route/browse.colour: there is no such column' ctl table set route/browse.colour 9
expect "bad row" 2 'route/nothing: there is no such row' ctl table set route/nothing.priority 1
expect "no column" 2 'ROW.COLUMN is expected' ctl table set route/browse 1
expect "no such service" 2 'there is no service/nobody' ctl table set route/browse.services nobody
expect "a service in use cannot be removed" 2 'route/browse goes to it' ctl table remove service/desk
ctl table export > "$work/table.csv"
expect "exported csv is imported" 0 'saved: version=10' ctl table import "$work/table.csv"
printf 'row,priority\nroute/browse,many\n' > "$work/bad.csv"
expect "bad csv" 2 "route/browse.priority: got 'many'" ctl table import "$work/bad.csv"
printf 'row,priority\nroute/browse,1,2,3\n' > "$work/long.csv"
expect "too many cells" 2 'long.csv:2: more cells than columns' ctl table import "$work/long.csv"
echo '{"rows": {"route/new": {"host": "h.example", "prefix": "/new/", "services": "desk", "repeatable": "true",
    "priority": 3, "attempts": 2, "timeout_ms": 900, "objective_ms": 500}}}' > "$work/new.json"
expect "a new row" 0 'saved: version=11' ctl table import "$work/new.json"
expect "remove a row" 0 'saved: version=12' ctl table remove route/new
expect "missing file to import" 2 'cannot be read' ctl table import "$work/nowhere.csv"
expect "no store" 2 'IP:PORT' "$programs/dewcrank" table show
expect "bad output" 2 'allowed: text, json, csv' ctl table show --output xml
expect "no command" 2 'commands:' ctl
expect "no node" 2 '--node' ctl status
expect "an unresponsive node" 4 'no answer' ctl status --node 127.0.0.1:1
expect "an edit that a node does not apply" 5 'not in force: version=13 node=127.0.0.1:1' \
    ctl table set route/browse.priority 4 --node 127.0.0.1:1 --wait 0.3
echo 'time=2026-01-01T10:00:01.000 event=repeats service=desk requests=40 inherited=2 granted=5 denied=3 ratio=0.2 slack=5 window_s=10' \
    > "$work/relay.log"
expect "retries are summed" 0 'service=desk from_s=36001.0 repeats=7.0 allowed=13.4 requests=42 denied=3' \
    "$programs/dewcrank" repeats "$work/relay.log"
echo 'time=2026-01-01T10:00:01.000 event=instance_failed request=r1 instance=i1 sent=yes route=/work/ fingerprint=aa' > "$work/one.log"
echo 'time=2026-01-01T10:00:03.500 event=instance_failed request=r2 instance=i2 sent=yes route=/work/ fingerprint=aa' > "$work/two.log"
expect "a request that crashed two instances" 0 'fingerprint=aa route=/work/ instances=2 from_s=36001.000 to_s=36003.500' \
    "$programs/dewcrank" crashes "$work/one.log" "$work/two.log"
echo 'time=2026-01-01T10:00:01.200 event=client_left request=r1 server=callers reason=peer-closed' > "$work/entry.log"
echo 'time=2026-01-01T10:00:01.100 event=run_cut request=r1 instance=i1 reason=timeout remaining_ms=900' > "$work/cut.log"
expect "explain names the hop that lost the answer" 0 "lost: first at $work/cut.log event=run_cut reason=timeout" \
    "$programs/dewcrank" explain r1 "$work/entry.log" "$work/cut.log"
expect "explain without a file" 2 'at least one log file' "$programs/dewcrank" explain r1
expect "explain of an unknown request" 2 'no line of these files names this request' \
    "$programs/dewcrank" explain r2 "$work/cut.log"
expect "crashes without a file" 2 'one log file at least' "$programs/dewcrank" crashes
expect "repeats without a file" 2 'one log file at least' "$programs/dewcrank" repeats
expect "repeats of a missing file" 2 'cannot be read' "$programs/dewcrank" repeats "$work/nowhere.log"
echo 'no event here' > "$work/empty.log"
expect "crashes without an event" 2 'no line of these files' "$programs/dewcrank" crashes "$work/empty.log"
expect "repeats without an event" 2 'no line of these files' "$programs/dewcrank" repeats "$work/empty.log"

start_store --lost-answers 1
expect "a write without a response is confirmed by a read" 0 'saved: version=8' ctl table set route/browse.priority 6
start_store --refuses-with 503
expect "store down" 4 'the store does not answer' ctl table show

echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
