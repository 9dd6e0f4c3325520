#!/usr/bin/env bash
# Bundles the platform's daemon: the entry point target/cowslipspar.mjs, and what it loads in target/chunks/.
set -euo pipefail
cd "$(dirname "$0")/.."
[ node_modules/.package-lock.json -nt package-lock.json ] || npm ci --silent
mkdir -p target
node deploy/bundle.js
