#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f dist/src/standin/index.js ] && [ -f target/gateway.cjs ] || exit 2
timeout -k 5 110 node review/5/run.mjs
code=$?
[ $code -le 1 ] && exit $code
exit 2
