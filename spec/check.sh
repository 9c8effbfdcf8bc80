#!/usr/bin/env bash
# Checks each model in this folder with SPIN. SPIN must report every mutation of a model as a violation.
set -euo pipefail
cd "$(dirname "$0")"
for check in */check.sh; do
  [ -e "$check" ] || continue
  bash "$check"
done
