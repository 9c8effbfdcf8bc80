#!/usr/bin/env bash
# Checks the model of keyed calls with SPIN. SPIN must report each mutation as a violation.
set -euo pipefail
cd "$(dirname "$0")"
model=$PWD/bookings.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# verify compiles the model with an optimisation level ($1) and optionally a macro ($2), runs it and prints SPIN's
# report.
verify() {
  spin -a ${2:+-D"$2"} "$model" >/dev/null
  gcc "$1" -w -DSAFETY -DMEMLIM=2048 -o pan pan.c
  ./pan -E -m200000
}

# number prints the number in front of the text $1 in the report $2.
number() {
  sed -n "s/^ *\([0-9]*\) *$1.*/\1/p" <<<"$2" | tail -1
}

report=$(verify -O2)
states=$(number "states, stored" "$report")
if ! grep -q "errors: 0" <<<"$report" || grep -q "search not completed\|max search depth too small\|out of memory\|memory limit" <<<"$report"; then
  echo "bookings: FAILED"
  echo "$report"
  exit 1
fi
echo "bookings: no violation in $states states"

for rule in NO_CONDITION NO_READ_BACK NO_TOKEN NO_UNKNOWN NO_KEEP NO_GATE NO_HASH; do
  report=$(verify -O0 "$rule")
  if ! grep -q "assertion violated" <<<"$report"; then
    echo "bookings: $rule is not reported as a violation"
    exit 1
  fi
  echo "bookings: $rule violates $(sed -n 's/^pan:1: assertion violated \(.*\) (at depth.*/\1/p' <<<"$report") after $(number "states, stored" "$report") states"
done
