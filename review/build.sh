#!/usr/bin/env bash
# Builds the project's own stand-ins, which the scripts start. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run --silent build
