#!/bin/sh
# Builds the stand-ins that the scripts of the cases start, into review/bin/.
# Needs Go only: the module has no dependencies.
set -eu
cd "$(dirname "$0")/stand"
GOFLAGS=-buildvcs=false go build -o ../bin/stand .
