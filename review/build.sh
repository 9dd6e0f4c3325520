#!/usr/bin/env bash
# Builds the project's own stand-ins into dist/; the other stand-ins of the cases are plain JavaScript. Needs no network after the
# build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
[ node_modules/.package-lock.json -nt package-lock.json ] || npm ci --silent
npm run --silent build
