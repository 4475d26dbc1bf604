#!/bin/sh
# Builds the stand-ins of the second review. The build of the deploy file comes first.
cd "$(dirname "$0")/.." && mkdir -p target/review-2 && cd review/stand2 && exec env GOFLAGS=-buildvcs=false go build -o ../../target/review-2/stand .
