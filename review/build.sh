#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The router is built by the deploy file's build line.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stage ./review/stage
