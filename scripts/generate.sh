#!/usr/bin/env bash
# Regenerates internal/rpc/*v1 from internal/rpc/proto. Needs protoc (Debian: protobuf-compiler).
set -euo pipefail
cd "$(dirname "$0")/.."
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools/" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$tools:$PATH" protoc -I internal/rpc/proto \
  --go_out=. --go_opt=module=auburnstep.example/auburnstep \
  --connect-go_out=. --connect-go_opt=module=auburnstep.example/auburnstep \
  internal/rpc/proto/*.proto
