#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/6 start beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/stage2
