#!/usr/bin/env bash
# Runs five instances and seven endpoints under load while processes are killed,
# frozen and restarted, and checks every response and booking. The seed varies the
# load; the order of the faults is fixed. Usage: scripts/soak.sh [SEED] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${1:-1}
seconds=${2:-40}
base=${SOAK_PORT:-17080}
dir=$(mktemp -d)
declare -A instance endpoint
cleanup() {
  kill -CONT "${instance[@]}" "${endpoint[@]}" 2>/dev/null || true
  kill -KILL "${instance[@]}" "${endpoint[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  if [ -n "${SOAK_KEEP:-}" ]; then echo "logs are in $dir"; else rm -rf "$dir"; fi
}
trap cleanup EXIT

domains=(nord-a nord-b nord-c nord-a nord-b)
members="127.0.0.1:$((base + 20)),127.0.0.1:$((base + 21)),127.0.0.1:$((base + 22))"
entries=""
for i in 0 1 2 3 4; do entries+="${entries:+,}127.0.0.1:$((base + i))"; done
export AUBURNSTEP_SERVER=$members

start_instance() {
  local data=()
  [ "$1" -lt 3 ] && data=(--data "$dir/data-$1" --initial-members "$members")
  bin/auburnstepd --instance "instance-$1" --failure-domain "${domains[$1]}" --listen "127.0.0.1:$((base + $1))" \
    --peer-listen "127.0.0.1:$((base + 20 + $1))" --peers "$members" "${data[@]}" 2>>"$dir/instance-$1.log" &
  instance[$1]=$!
}
start_endpoint() {
  local name=$1
  shift
  bin/fakeengine --announce "$entries" --id "$name" "$@" >>"$dir/$name.log" 2>&1 &
  endpoint[$name]=$!
}
# note TEXT... prints the text with the time of day.
note() { echo "$(date +%T) $*"; }
# holder GROUP prints the number of the instance that schedules the group.
holder() { bin/auburnctl status | awk -v g="$1" '$1 == g { sub("instance-", "", $2); print $2 }'; }
# leader prints the number of the instance that is the control leader.
leader() { bin/auburnctl status | awk '$4 == "leader" { sub("instance-", "", $2); print $2 }'; }

for i in 0 1 2 3 4; do start_instance "$i"; done
for _ in $(seq 100); do bin/auburnctl status >/dev/null 2>&1 && break; sleep 0.1; done
bin/auburnctl apply -f examples/cerapulita | tail -1
for n in 1 2 3 4; do start_endpoint "engine-$n" --models wax-1 --tokens-per-second 200 --slots 8; done
for n in 1 2 3; do start_endpoint "rota-$n" --kind plain --service rota-app --slots 4 --listen "127.0.0.1:$((base + 40 + n))"; done
sleep 2
keys=()
for k in torino asti alba cuneo brera egizio venaria; do keys+=(--key "cera-demo-$k"); done
ledgers="127.0.0.1:$((base + 41)),127.0.0.1:$((base + 42)),127.0.0.1:$((base + 43))"
bin/auburnload run --instance "$entries" --profile cerapulita --model wax-1 --seed "$seed" --rate "${SOAK_RATE:-40}" --duration "${seconds}s" \
  --burst "schedule,start=10s,length=8s,factor=6" --ledger "$ledgers" "${keys[@]}" &
load=$!
pause=$((seconds / 8))
sleep "$pause"
h=$(holder auburn-pool/0); note "kill the scheduler of auburn-pool, instance-$h"; kill -KILL "${instance[$h]}"; sleep 1; start_instance "$h"
sleep "$pause"
l=$(leader); note "freeze the leader, instance-$l, for 5 s"; kill -STOP "${instance[$l]}"; sleep 5; kill -CONT "${instance[$l]}"
sleep "$pause"
note "crash engine-1 and freeze engine-2 for 3 s"; kill -KILL "${endpoint[engine-1]}"; kill -STOP "${endpoint[engine-2]}"; sleep 3
kill -CONT "${endpoint[engine-2]}"; start_endpoint engine-1 --models wax-1 --tokens-per-second 200 --slots 8
sleep "$pause"
l=$(leader); h=$(holder rota-app/0); note "kill the leader, instance-$l, and the scheduler of rota-app, instance-$h"
kill -KILL "${instance[$l]}" "${instance[$h]}" 2>/dev/null; sleep 1; start_instance "$l"; [ "$l" = "$h" ] || start_instance "$h"
wait "$load" && result=0 || result=$?
bin/auburnctl status
[ "$result" -eq 0 ] && note "soak passed, seed $seed" || note "soak failed, seed $seed, exit $result"
exit "$result"
