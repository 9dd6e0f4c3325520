#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -f target/cowslipspar.mjs ] || [ ! -f dist/stand-ins/kv-store-stand-in.js ]; then
	echo 'run the build of deploy/system.toml and review/build.sh first' >&2
	exit 2
fi
exec node "$folder/run.js"
