#!/usr/bin/env bash
# Builds what the scripts of the second review start. The stand-ins are plain programs for Node
# (kit-2.mjs and the case.mjs of each folder), so they are only checked here; the gateway itself is
# built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for file in kit-2.mjs [4-8]/case.mjs; do
  node --check "$file"
done
