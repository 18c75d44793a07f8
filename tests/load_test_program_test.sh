#!/usr/bin/env bash
# What flintdale_load_test refuses, with 2 and a reason; and that an interrupted run leaves no process behind.
# Usage: scale_run_test.sh PROGRAM SCENARIO
set -uo pipefail
ulimit -Sn 20000 2>/dev/null || true
program=$1 scenario=$2 bad=0 count=0
# expect STATUS PATTERN ARGUMENTS...
expect() {
    local wanted=$1 pattern=$2 said status
    shift 2
    said=$("$program" "$@" 2>&1)
    status=$?
    count=$((count + 1))
    if [ "$status" != "$wanted" ] || ! grep -q -- "$pattern" <<<"$said"; then
        echo "FAILED: $*: status $status, said: $said"
        bad=$((bad + 1))
    fi
}
expect 2 "workers" run "$scenario" --workers 0
expect 2 "open files" run "$scenario" --workers 28000 --zones 1
expect 2 "controllers" run "$scenario" --controllers 99
expect 2 "window_s" run "$scenario" --length 10
expect 2 "no such program" run "$scenario" --daemon /nowhere/flintdale
expect 2 "cannot be read" run /nowhere.toml
expect 2 "cannot be read" fit /nowhere.jsonl
expect 2 "subcommand" --workers 3
# The ids of a process's children.
children_of() { grep -ls "^PPid:[[:space:]]*$1\$" /proc/[0-9]*/status | cut -d/ -f3; }
"$program" run "$scenario" --workers 20 --network 251 >/dev/null 2>&1 &
run=$!
for _ in $(seq 100); do
    children=$(children_of "$run" | wc -l)
    [ "$children" -ge 4 ] && break
    sleep 0.1
done
[ "$children" -ge 4 ] || { echo "FAILED: $children processes were started"; bad=$((bad + 1)); }
started=$(children_of "$run")
kill -TERM "$run"
wait "$run"
status=$?
[ "$status" = 1 ] || { echo "FAILED: interrupted, status $status"; bad=$((bad + 1)); }
for id in $started; do
    if kill -0 "$id" 2>/dev/null; then echo "FAILED: process $id is left"; bad=$((bad + 1)); fi
done
count=$((count + 1))
echo "$((count - bad)) passed, $bad failed"
[ "$bad" = 0 ]
