#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are plain modules of Node.js without dependencies, so only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
	[ -e "$file" ] || continue
	node --check "$file"
done
