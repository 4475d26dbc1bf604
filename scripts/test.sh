#!/usr/bin/env bash
# Runs all Go tests except those on the "test:" lines of KNOWN-RED.txt, which it prints.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
if [ -f KNOWN-RED.txt ]; then
  red=$(sed -n 's/^test: *//p' KNOWN-RED.txt)
  if [ -n "$red" ]; then
    echo "left out, see KNOWN-RED.txt:"
    printf '  %s\n' $red
    skip=(-skip "^($(printf '%s\n' $red | paste -sd'|'))\$")
  fi
fi
# The tests of misbehaving clients fill the memory of processes. They run one at a time, after
# all others.
clients='^TestClientsAt'
all=$clients
if [ ${#skip[@]} -gt 0 ]; then
  all="${skip[1]}|$clients"
fi
go test -count=1 -timeout 600s -skip "$all" ./...
go test -count=1 -timeout 900s -p 1 "${skip[@]}" -run "$clients" ./platform/soak ./internal/proof
