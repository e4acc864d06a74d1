#!/bin/sh
# Builds the stand-ins that the scripts start. Standard library only: no network is needed.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
CGO_ENABLED=0 GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -o bin/standin ./standin
