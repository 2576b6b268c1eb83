#!/bin/sh
# Builds the project's own stand-ins, which the scripts of the third review start. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -p tsconfig.json
