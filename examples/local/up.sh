#!/usr/bin/env bash
# Starts three entry hosts and the stand-ins as separate processes on this
# machine, publishes the example contract, and stops them all on Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/../.."
bin=$(mktemp -d)
go build -o "$bin" ./cmd/...
"$bin/tealvane" dev-certs -dir "$bin/certs"
pids=()
stop() { kill -TERM "${pids[@]}" 2>/dev/null || true; wait || true; rm -rf "$bin"; }
trap stop EXIT
run() { local name=$1; shift; (cd "$bin" && exec "$@") & pids+=($!); echo "started $name, process $!"; }
local_dir=$PWD/examples/local
run platform "$bin/tealvane-standin" -config "$local_dir/standins.yaml" -only platform
until curl -sf http://127.0.0.1:7300/v1/hosts >/dev/null; do sleep 0.1; done
for e in engine-1 engine-2 engine-3 screening-1 lookup-1; do
  run "$e" "$bin/tealvane-standin" -config "$local_dir/standins.yaml" -only "$e"
done
for i in 1 2 3; do run "entry-$i" "$bin/tealvaned" -config "$local_dir/entry-$i.yaml"; done
for i in 1 2 3; do until curl -sf "http://127.0.0.1:710$i/readyz" >/dev/null; do sleep 0.1; done; done
# Retry: the host list is updated with a delay, so the entry host may not know
# the pool yet.
for try in 1 2 3 4 5 6 7 8 9 10; do
  "$bin/tealvane" contract publish -operators http://127.0.0.1:7101 -base 0 examples/dev/contract.yaml && break
  sleep 0.5
done
echo "callers: http://127.0.0.1:7001 7002 7003; operators: 7101 7102 7103; Ctrl-C stops all"
wait
