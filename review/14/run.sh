#!/usr/bin/env bash
# Exits with 1 if no request is served, 0 if some are, 2 if the case could not run. TROUBLE=0 allows the members one connection more.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -f target/buckthornhitch.cjs ] || { echo 'target/buckthornhitch.cjs is missing: run the build of the deploy file'; exit 2; }
exec node "$folder/case.mjs"
