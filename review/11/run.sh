#!/usr/bin/env bash
# Exits with 1 if an acknowledged commit is not in the log of the promoted member, 0 if all are, 2 if the case could not run. TROUBLE=0 leaves everything undisturbed.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -f target/buckthornhitch.cjs ] || { echo 'target/buckthornhitch.cjs is missing: run the build of the deploy file'; exit 2; }
exec node "$folder/case.mjs"
