#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs the same without the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/relay ] && [ -x target/standin2 ] || { echo "build first: the deploy file's build, and review/build-2.sh"; exit 2; }
exec target/standin2 hup "$here/record.txt"
