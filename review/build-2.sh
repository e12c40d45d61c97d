#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The project's own programs are built by the deploy
# file. Needs Go and its standard library only, and no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOWORK=off GOFLAGS="${GOFLAGS:-} -mod=mod" GOPROXY=off go build -o ../../target/standin2 .
