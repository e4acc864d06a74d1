#!/bin/sh
# Builds what the cases 6 to 10 start beside the project's own programs: their stand-ins, in one program. It
# needs the standard library alone, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
cd review/standin-2
GOFLAGS="${GOFLAGS:-} -mod=mod" GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -o ../../bin/review-2 .
