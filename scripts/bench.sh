#!/usr/bin/env bash
# Compares chat streams through one daemon with the same streams sent directly to
# a fake engine. Measures the added time to the first token (one stream, engine
# without a rate limit) and the throughput (64 streams, engine at 100 tokens/s).
# Takes about 40 s.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/auburnstepd ./cmd/auburnctl ./cmd/fakeengine ./cmd/auburnload
base=${BENCH_PORT:-16080}
entry=127.0.0.1:$base
direct=127.0.0.1:$((base + 1))
export AUBURNSTEP_SERVER=127.0.0.1:$((base + 2))
dir=$(mktemp -d)
daemon="" engine=""
cleanup() {
  kill -KILL $daemon $engine 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap cleanup EXIT
bin/auburnstepd --instance bench --failure-domain local --listen "$entry" --peer-listen "$AUBURNSTEP_SERVER" --data "$dir/data" \
  2>"$dir/daemon.log" &
daemon=$!
for _ in $(seq 50); do bin/auburnctl status >/dev/null 2>&1 && break; sleep 0.1; done
bin/auburnctl apply -f examples/cerapulita >/dev/null
# run PACE FLAGS... measures against a fake engine that generates PACE tokens per
# second (0: no limit).
run() {
  local pace=$1
  shift
  bin/fakeengine --announce "$entry" --listen "$direct" --id engine --models wax-1 --slots 64 --tokens-per-second "$pace" \
    --batch-slowdown 0 --prefill-rate 0 >"$dir/engine.log" &
  engine=$!
  sleep 2
  bin/auburnload bench --entry "$entry" --direct "$direct" --key cera-demo-fonderia-po --model wax-1 "$@"
  kill -KILL $engine
  wait $engine 2>/dev/null || true
}
run 0 --streams 1 --tokens 8
run 100 --streams 64
