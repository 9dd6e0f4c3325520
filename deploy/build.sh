#!/usr/bin/env bash
# Builds the platform's daemon as one file under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
[ node_modules/.package-lock.json -nt package-lock.json ] || npm ci --silent
mkdir -p target
node deploy/bundle.js
