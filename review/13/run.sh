#!/usr/bin/env bash
# Exits with 1 if an acknowledged version is not in force, 0 if it is, 2 if the case could not run. TROUBLE=0 sends a name of a route whole.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -f target/buckthornhitch.cjs ] || { echo 'target/buckthornhitch.cjs is missing: run the build of the deploy file'; exit 2; }
exec node "$folder/case.mjs"
