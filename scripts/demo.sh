#!/usr/bin/env bash
# Starts three instances in three failure domains and three endpoints, applies
# examples/cerapulita, sends requests of every class, drains one instance under
# load and stops everything. Exits 0 only if every response was complete and
# belonged to its request, and each booking ran exactly once.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=()
cleanup() {
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  [ -n "${DEMO_KEEP:-}" ] || rm -rf "$dir"
}
trap cleanup EXIT
fail() {
  echo "demo failed: $1" >&2
  tail -n 5 "$dir"/*.log >&2
  exit 1
}

base=${DEMO_PORT:-18080}
domains=(nord-a nord-b nord-c)
callers=()
peers=()
for i in 0 1 2; do
  callers+=("127.0.0.1:$((base + i))")
  peers+=("127.0.0.1:$((base + 10 + i))")
done
members=$(IFS=,; echo "${peers[*]}")
entries=$(IFS=,; echo "${callers[*]}")
export AUBURNSTEP_SERVER=$members

echo "== starting three instances in ${domains[*]}"
instances=()
for i in 0 1 2; do
  bin/auburnstepd --instance "instance-$i" --failure-domain "${domains[$i]}" --listen "${callers[$i]}" \
    --peer-listen "${peers[$i]}" --data "$dir/data-$i" --initial-members "$members" \
    2>"$dir/instance-$i.log" &
  pids+=($!)
  instances+=($!)
done

echo "== applying the settings in examples/cerapulita"
for _ in $(seq 50); do
  bin/auburnctl status >/dev/null 2>&1 && break
  sleep 0.1
done
bin/auburnctl apply -f examples/cerapulita || fail "apply"

echo "== starting two engines and one endpoint of a plain service"
start_endpoint() {
  bin/fakeengine --announce "$entries" "$@" >>"$dir/endpoints.log" 2>&1 &
  pids+=($!)
}
start_endpoint --kind engine --service auburn-pool --id engine-1 --failure-domain nord-a --models wax-1 --tokens-per-second 400
start_endpoint --kind engine --service auburn-pool --id engine-2 --failure-domain nord-b --models wax-1 --tokens-per-second 400
rota=127.0.0.1:$((base + 20))
start_endpoint --kind plain --service rota-app --id rota-1 --failure-domain nord-c --listen "$rota"
for _ in $(seq 50); do
  [ "$(bin/auburnctl endpoints -o json 2>/dev/null | grep -c '"id"')" -ge 3 ] && break
  sleep 0.1
done
bin/auburnctl endpoints || fail "endpoints"
# Entries learn of new models with their next poll of the control members.
for entry in "${callers[@]}"; do
  for _ in $(seq 50); do
    curl -sf -H 'Authorization: Bearer cera-demo-torino' "http://$entry/v1/models" | grep -q wax-1 && break
    sleep 0.1
  done
done

echo "== sending load of every class, each booking twice under one idempotency key; stopping instance-2 under load"
bin/auburnload run --instance "$entries" --profile cerapulita --model wax-1 --duration 8s --rate 20 --ledger "$rota" \
  --key cera-demo-torino --key cera-demo-asti --key cera-demo-brera &
load=$!
sleep 2
kill -TERM "${instances[2]}"
wait "$load" || fail "load"
wait "${instances[2]}" || fail "instance-2 did not stop cleanly"

echo "== status after the load"
bin/auburnctl status || fail "status"
echo "demo passed"
