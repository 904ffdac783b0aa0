#!/usr/bin/env bash
# The stand-ins are ES modules without dependencies and need no build: this only checks that Node.js can read them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do
    [ -e "$file" ] && node --check "$file"
done
