#!/usr/bin/env bash
# Runs each fuzz target of the repository for the given time (10s by default).
# Usage: scripts/fuzz.sh [TIME]
set -euo pipefail
cd "$(dirname "$0")/.."
grep -rlE '^func Fuzz' --include='*_test.go' internal platform | while read -r file; do
  grep -oE '^func Fuzz[A-Za-z0-9_]+' "$file" | sed 's/func //' | while read -r target; do
    go test "./$(dirname "$file")" -run '^$' -fuzz "^$target\$" -fuzztime "${1:-10s}" -parallel 4
  done
done
