#!/usr/bin/env bash
# Measures the cost per unit of load (the slopes in docs/CAPACITY.md). Uses daemons
# on loopback, bin/auburncapacity, which simulates entries, instances and callers,
# and the Go benchmarks. Writes the raw rows, the benchmark output and the table to
# a directory (capacity-out by default). Takes about 15 minutes and at most 4 cores.
#   scripts/capacity.sh [DIRECTORY]          runs all parts
#   PARTS="feed fresh" scripts/capacity.sh   runs the named parts
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:-capacity-out}
parts=${PARTS:-streams messages feed groups fresh storm bookings sync bench}
repeats=${REPEATS:-3}
sizes=${SIZES:-8 64 256}
mkdir -p "$out"
raw=$out/rows.tsv
: >"$raw"
go build -o bin/ ./cmd/auburnstepd ./cmd/fakeengine ./cmd/auburncapacity
dir=$(mktemp -d)
pids=()
cleanup() {
  kill -9 "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap cleanup EXIT

net=${CAPACITY_NET:-127.77.1}
members=$net.1:7001,$net.2:7001,$net.3:7001
# daemon NUMBER NAME [FLAGS] starts an instance with GOMAXPROCS=1.
daemon() {
  local n=$1 name=$2
  shift 2
  GOMAXPROCS=1 bin/auburnstepd run --instance "$name" --failure-domain "domain-$n" --listen "$net.$n:7000" \
    --peer-listen "$net.$n:7001" --metrics-listen "$net.$n:7002" --peers "$members" --log-level warning "$@" \
    2>"$dir/$name.log" &
  pids+=($!)
}
# measure ARGS... runs bin/auburncapacity and appends its rows to the raw file. If
# it fails, prints the end of every daemon log.
measure() {
  echo "== $*" >&2
  GOMAXPROCS=2 bin/auburncapacity "$@" >>"$raw" || { tail -n 3 "$dir"/*.log >&2; exit 1; }
}
# wanted PART succeeds if PARTS names the part.
wanted() { [[ " $parts " == *" $1 "* ]]; }
# present is the number of customers in the current settings.
present=0
# load CUSTOMERS [GROUPS] changes the settings to the given number of customers and
# of scheduler groups (1 by default).
load() {
  measure load --control "$members" --present "$present" --customers "$1" --groups "${2:-1}"
  present=$1
}

for n in 1 2 3; do
  daemon "$n" "member-$n" --data "$dir/data-$n" --initial-members "$members"
done
daemon 4 "$(bin/auburncapacity name)"
sleep 4
load 100
# Wait until the scheduler has acquired the group.
sleep 3

if wanted streams; then
  daemon 5 entry
  GOMAXPROCS=1 bin/fakeengine --announce "$net.5:7000" --service capacity-pool --models capacity-1 --slots 4096 --queue-max 4096 \
    --tokens-per-second 50 --batch-slowdown 0 --prefill-rate 0 >"$dir/engine.log" 2>&1 &
  pids+=($!)
  sleep 4
  entry=(--entry "$net.5:7000" --metrics "$net.5:7002")
  for _ in $(seq "$repeats"); do
    measure streams "${entry[@]}" --tokens 16 --requests 1024
    measure streams "${entry[@]}" --tokens 64 --requests 512
    measure streams "${entry[@]}" --tokens 256 --requests 128
    for n in 16 64 256; do measure in-flight "${entry[@]}" --streams "$n"; done
  done
  kill -9 "${pids[-1]}" "${pids[-2]}"
  wait "${pids[-1]}" "${pids[-2]}" 2>/dev/null || true
  sleep 4
fi
if wanted messages; then
  for _ in $(seq "$repeats"); do measure messages --control "$members"; done
fi
if wanted feed; then
  for _ in $(seq "$repeats"); do
    for n in $sizes; do
      measure feed --control "$members" --instances "$n" --label "feed steady" --window 4s
      measure feed --control "$members" --instances "$n" --label "feed with a change a second" --window 4s --every 1s
    done
  done
fi
if wanted groups; then
  for groups in 1 20 75; do
    load 100 "$groups"
    for _ in $(seq "$repeats"); do
      measure feed --control "$members" --instances 64 --label "feed of 64 instances by groups" --size "$groups" --window 4s
      sleep 3
      measure idle --label "daemon without requests by groups" --metrics "$net.4:7002" --size "$groups" --window 5s
    done
  done
  load 100 1
fi
if wanted bookings; then
  for _ in $(seq "$repeats"); do
    for n in 1 16 64; do measure bookings --control "$members" --parallel "$n"; done
  done
fi
if wanted fresh; then
  for n in 100 3300 33000; do
    load "$n"
    for _ in $(seq "$repeats"); do
      measure fresh --control "$members" --size "$n"
      measure memory --label "daemon by customers, no control member" --metrics "$net.4:7002" --size "$n"
      for m in 1 2 3; do measure memory --label "daemon by customers, control member $m" --metrics "$net.$m:7002" --size "$n" --window 1s; done
    done
  done
fi
if wanted storm; then
  load 33000
  for n in 1 2 4 9 36; do
    for _ in $(seq "$repeats"); do measure storm --control "$members" --instances "$n" --bound 10s; done
  done
fi
if wanted sync; then
  bin/auburncapacity commands >>"$raw"
  for _ in $(seq "$repeats"); do measure sync --dir "$out"; done
fi
if wanted bench; then
  # go test runs the repetitions of a benchmark one after the other.
  GOMAXPROCS=4 go test -run '^$' -bench . -benchmem -benchtime 100ms -count "$repeats" \
    ./internal/control/state ./internal/wal ./internal/settings ./internal/scheduler ./internal/event ./internal/metrics >"$out/bench.txt"
fi
bin/auburncapacity fit "$raw" >"$out/table.tsv"
cat "$out/table.tsv"
