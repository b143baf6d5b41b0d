#!/bin/bash
# Measures a real entry and a real agent on loopback: the latency that they add to
# a request, and their memory and CPU when idle and, at the agent, with 100,000
# claims. Stops its processes at the end.
#
#   cargo build --release --workspace --bins && bash scripts/capacity-processes.sh
set -euo pipefail
cd "$(dirname "$0")/.."
bin=target/release
dir=$(mktemp -d)
pids=()
stop() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    rm -rf "$dir"
}
trap stop EXIT
echo measure-token >"$dir/token"
for entry in 1 2; do
    cat >"$dir/e$entry.ini" <<INI
[entry]
id = e$entry
site = test
zone = zone-a
region = north
[listen]
callers = 127.0.0.1:1900$entry
operators = 127.0.0.1:1901$entry
agents = 127.0.0.1:1902$entry
[operators]
token-file = $dir/token
[platform]
address = 127.0.0.1:19030
[process]
log-level = warn
drain-time = 1s
INI
done
cat >"$dir/w1.ini" <<INI
[agent]
id = w1
zone = zone-a
region = north
[worker]
id = w1
rack = rack-a
accelerators = 8
[backend]
address = 127.0.0.1:19031
slots = 8
connections = 64
[listen]
agents = 127.0.0.1:19040
operators = 127.0.0.1:19041
[entries]
seeds = 127.0.0.1:19021, 127.0.0.1:19022
[platform]
address = 127.0.0.1:19030
[process]
log-level = warn
drain-time = 1s
INI
$bin/cumindeck-standin-platform --listen 127.0.0.1:19030 >"$dir/platform.log" 2>&1 &
pids+=($!)
$bin/cumindeck-standin-backend --listen 127.0.0.1:19031 >"$dir/backend.log" 2>&1 &
pids+=($!)
for entry in 1 2; do
    $bin/cumindeck-entry --settings "$dir/e$entry.ini" >"$dir/e$entry.log" 2>&1 &
    pids+=($!)
done
entry_pid=${pids[2]}
$bin/cumindeck-agent --settings "$dir/w1.ini" >"$dir/w1.log" 2>&1 &
agent_pid=$!
pids+=("$agent_pid")
sleep 2
cp crates/e2e/overlay.ini "$dir/test.ini"
$bin/cumindeck --server 127.0.0.1:19011 --token-file "$dir/token" \
    config apply --expected-version 0 crates/e2e/base.ini "$dir/test.ini"
# A new ring is written 2 s after the last change, and the agent waits 8 s because
# an earlier home may hold claims.
sleep 14
echo "entry, one agent"
$bin/cumindeck-bench capacity process --pid "$entry_pid"
echo "request path compared with a direct call, 1 KiB bodies, sequential requests"
$bin/cumindeck-bench path --callers 127.0.0.1:19001 --backend 127.0.0.1:19031 --team letters
echo "agent, idle"
$bin/cumindeck-bench capacity process --pid "$agent_pid"
$bin/cumindeck-bench capacity claims --agent 127.0.0.1:19040 --count 100000
echo "agent, with claims"
$bin/cumindeck-bench capacity process --pid "$agent_pid"
