#!/bin/sh
# Builds the project's stand-ins, which the scripts of review/6 to review/10 start, from installed packages only.
cd "$(dirname "$0")/.." || exit 2
exec npm run --silent build
