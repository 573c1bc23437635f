#!/bin/bash
# Fault soak: runs a fleet of node processes under injected faults and checks the outcomes of requests.
#   scripts/soak.sh [--seed N] [--seconds S] [--programs DIR] [--keep DIR] [-- flags of dewcrank-soak]
#   scripts/soak.sh --regress      runs each seed of tests/soak/seeds.txt: seeds that failed before
# Without --seed, a random seed is used. The logs of a failed soak are kept.
set -u
cd "$(dirname "$0")/.."
programs=build/bin
seed=""
seconds=60
keep=""
regress=""
while [ $# -gt 0 ]; do
    case $1 in
        --seed) seed=$2; shift 2 ;;
        --seconds) seconds=$2; shift 2 ;;
        --programs) programs=$2; shift 2 ;;
        --keep) keep=$2; shift 2 ;;
        --regress) regress=yes; shift ;;
        --) shift; break ;;
        *) echo "unknown flag: $1" >&2; exit 2 ;;
    esac
done

# supervise NAME: runs a node and restarts it whenever it exits, until the fleet is stopped. A file NAME.held delays
# the restart.
supervise() {
    local name=$1 process code
    while [ -e "$fleet/running" ]; do
        if [ -e "$fleet/$name.held" ]; then
            sleep 0.05
            continue
        fi
        "$programs/dewcrank-sidecar" --settings "$fleet/$name.toml" >> "$fleet/$name.log" 2>&1 &
        process=$!
        echo "$process" > "$fleet/$name.pid.new"
        mv "$fleet/$name.pid.new" "$fleet/$name.pid"
        code=0
        wait "$process" 2> /dev/null || code=$?
        rm -f "$fleet/$name.pid"
        [ -e "$fleet/running" ] && echo "$process $code" >> "$fleet/$name.exits"
        sleep 0.1
    done
}

# stop_fleet: kills the remaining nodes by the process ids that their supervisors wrote.
stop_fleet() {
    local file process
    rm -f "$fleet/running"
    for file in "$fleet"/*.pid; do
        [ -e "$file" ] || continue
        process=$(cat "$file")
        kill -CONT "$process" 2> /dev/null
        kill -KILL "$process" 2> /dev/null
    done
    wait
}

# soak SEED SECONDS FLAGS...: runs one soak. Returns the exit code of dewcrank-soak, which is 0 if all checks passed.
soak() {
    local seed=$1 seconds=$2 driver result=0 name
    shift 2
    fleet=${keep:-$(mktemp -d)}
    mkdir -p "$fleet"
    touch "$fleet/running"
    "$programs/dewcrank-soak" --directory "$fleet" --seed "$seed" --seconds "$seconds" "$@" \
        > >(tee "$fleet/report" | grep --line-buffered -v '^fault:') 2>&1 &
    driver=$!
    while [ ! -e "$fleet/nodes" ] && kill -0 "$driver" 2> /dev/null; do
        sleep 0.05
    done
    if [ -e "$fleet/nodes" ]; then
        while read -r name; do
            supervise "$name" 2> /dev/null &
        done < "$fleet/nodes"
    fi
    wait "$driver" || result=$?
    stop_fleet
    if [ "$result" != 0 ]; then
        echo "seed $seed, $seconds s: exit code $result; logs: $fleet"
    elif [ -z "$keep" ]; then
        rm -rf "$fleet"
    fi
    return "$result"
}

if [ -n "$regress" ]; then
    failed=0
    while read -r seed seconds _; do
        case $seed in "" | "#"*) continue ;; esac
        soak "$seed" "$seconds" "$@" || failed=$((failed + 1))
    done < tests/soak/seeds.txt
    echo "$failed seeds failed"
    [ "$failed" = 0 ]
    exit
fi
soak "${seed:-$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')}" "$seconds" "$@"
