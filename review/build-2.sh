#!/bin/sh
# Checks the stand-ins and the scripts of cases 6 to 10. They are ES modules that use Node.js alone, so nothing is
# compiled; the programs that they start are built by the `build` line of the deploy file.
set -e
cd "$(dirname "$0")"
for script in lib-2/*.mjs [6-9]/*.mjs 10/*.mjs; do
    if [ -f "$script" ]; then
        node --check "$script"
    fi
done
