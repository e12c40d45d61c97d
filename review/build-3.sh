#!/bin/bash
# Builds the stand-ins of the third review's scripts. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
(cd review/standin-3 && GOWORK=off go build -o ../../target/standin-3 .)
