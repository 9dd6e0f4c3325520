#!/usr/bin/env bash
# Builds the project's stand-ins, which the scripts of cases 6 to 10 start, into dist/. Their own stand-ins in lib-2/ need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
node node_modules/typescript/bin/tsc -p tsconfig.json
