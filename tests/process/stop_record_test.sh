#!/bin/bash
# Checks the record of a stop on a node process: each request that the stop leaves is named with its hop, and nothing is
# left out. The request waits for an instance that never comes, so that it is in flight at the limit of the stop.
set -u
programs=$1
work=$(mktemp -d)
processes=()
trap 'kill "${processes[@]}" 2> /dev/null; wait 2> /dev/null; rm -rf "$work"' EXIT
failed=0

# wait_for FILE TEXT: waits until the file contains the text, for 15 s at most.
wait_for() {
    local tries=0
    until grep -q "$2" "$1" 2> /dev/null; do
        sleep 0.05
        [ $((tries += 1)) -lt 300 ] || { echo "stop_record: no '$2' in $1:"; cat "$1"; exit 1; }
    done
}

# expect TEXT: checks that the log of the node has a line with the text.
expect() {
    grep -q -- "$1" "$work/node.log" || { echo "stop_record: no line with '$1'"; failed=1; }
}

cat > "$work/config.json" << 'EOJ'
{
  "Version": "00000007",
  "Routes": {
    "sign": {"Host": "fleet.example", "PathPrefix": "/sign/", "Kind": "unsafe", "TimeoutMs": 10000,
             "TargetLatencyMs": 60000, "Priority": 0, "Service": "desk", "MaxAttempts": 1}
  },
  "Services": {"desk": {"HealthPath": "/health", "MaxConnections": 200, "Protocol": "h1", "Tls": false}},
  "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
}
EOJ
"$programs/dewcrank-standin-store" --config "$work/config.json" > "$work/store.out" &
processes+=($!)
wait_for "$work/store.out" ':'
# Ports below the range that the system gives to outgoing connections.
base=$((20000 + $$ % 10000))
cat > "$work/node.toml" << EOT
name = "n1"
zone = "north"
service = "desk"
[listen]
callers = "127.0.0.1:$base"
nodes = "127.0.0.1:$((base + 1))"
heartbeats = "127.0.0.1:$((base + 2))"
readiness = "127.0.0.1:$((base + 3))"
[instance]
address = "127.0.0.1:$((base + 4))"
[store]
address = "$(head -1 "$work/store.out")"
[stop]
grace_s = 4
EOT
"$programs/dewcrank-sidecar" --settings "$work/node.toml" > "$work/node.log" 2>&1 &
node=$!
processes+=("$node")
wait_for "$work/node.log" 'event=table_adopted'

exec 3<> "/dev/tcp/127.0.0.1/$base"
printf 'POST /sign/x HTTP/1.1\r\nHost: fleet.example\r\nDewcrank-Request-Id: r1\r\nAuthorization: Bearer secret-key\r\nContent-Length: 2\r\n\r\nab' >&3
sleep 0.3
kill -TERM "$node"
wait "$node"
expect 'event=node_stopping in_flight=1'
expect 'event=node_idle in_flight=1 delivered=no'
expect 'event=request_unfinished request=r1 hop=entry route=sign relay=none state=waiting remaining_ms='
expect 'event=response_cut request=r1 server=callers peer=127.0.0.1:[0-9]* state=at-work delivered=0 bytes=0 reason=stop-limit stopping=yes'
grep -q 'secret-key' "$work/node.log" && { echo "stop_record: the log holds a key"; failed=1; }
[ "$failed" = 0 ] || cat "$work/node.log"
exit "$failed"
