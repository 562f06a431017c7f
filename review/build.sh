#!/usr/bin/env bash
# The stand-ins are plain JavaScript modules that run as they are; this only checks that each can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
find review -name '*.mjs' -print0 | xargs -0 -n 1 node --check
