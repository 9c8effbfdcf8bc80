#!/usr/bin/env bash
# Builds the stand-ins of all scripts into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-lab ./review/testdata/lab
