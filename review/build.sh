#!/usr/bin/env bash
# The stand-ins of the cases are plain modules of Node.js 20 without dependencies: nothing is compiled. Checks that they parse.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
