#!/usr/bin/env bash
# The scripts of review/11 to review/15 start the programs of the deploy file, and stand-ins in plain JavaScript that run as they are. Checks that each can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for file in 1[1-5]/*.mjs; do
	[ -e "$file" ] || continue
	node --check "$file"
done
