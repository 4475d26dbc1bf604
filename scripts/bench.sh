#!/usr/bin/env bash
# Compares chat streams through one daemon with the same streams straight to the
# stand-in: added time to the first token (unpaced, one stream) and throughput
# (100 tokens a second, 64 streams). Takes about 40 s.
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
# run PACE FLAGS... measures against a stand-in of the given pace.
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
