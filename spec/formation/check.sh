#!/usr/bin/env bash
# Checks the model of group formation with SPIN. SPIN must report each mutation as a violation.
set -euo pipefail
cd "$(dirname "$0")"
model=$PWD/formation.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify runs the model with the macro $1, or without one, and writes SPIN's report to the file named after the
# macro, or to the file rules.
verify() {
  local name=${1:-rules}
  mkdir "$work/$name.d"
  cd "$work/$name.d"
  spin -a ${1:+"-D$1"} "$model" >/dev/null
  gcc -O2 -w -DSAFETY -DMEMLIM=2048 -o pan pan.c
  ./pan -E -m1000000 >"$work/$name"
}

# number prints the number of stored states in the report file $1.
number() {
  sed -n "s/^ *\([0-9]*\) *states, stored.*/\1/p" "$work/$1" | tail -1
}

rules="NO_DISSOLVE NO_HOLD NO_MEMBERS NO_EPOCH"
(verify "")
for rule in $rules; do
  (verify "$rule")
done

if ! grep -q "errors: 0" "$work/rules" || grep -qi "search not completed\|depth too small\|out of memory\|memory limit" "$work/rules"; then
  echo "formation: FAILED"
  cat "$work/rules"
  exit 1
fi
echo "formation: no violation in $(number rules) states"
for rule in $rules; do
  if ! grep -q "assertion violated" "$work/$rule"; then
    echo "formation: $rule is not reported as a violation"
    exit 1
  fi
  echo "formation: $rule violates $(sed -n 's/^pan:1: assertion violated \(.*\) (at depth.*/\1/p' "$work/$rule") after $(number "$rule") states"
done
