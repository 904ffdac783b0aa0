#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the programs of the deploy file. Their stand-ins are the
# modules in review/lib-3, which Node.js runs as they are.
set -e
cd "$(dirname "$0")/.."
for module in review/lib-3/*.mjs; do
    node --check "$module"
done
