#!/usr/bin/env bash
# Prepares the stand-ins of the cases 11 to 15. They are plain modules of Node.js without dependencies, so only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-3/*.mjs 1[1-5]/*.mjs; do
	[ -e "$file" ] || continue
	node --check "$file"
done
