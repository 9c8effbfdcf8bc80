#!/usr/bin/env bash
# Checks the model of groups with SPIN for engines that check fencing tokens and for engines that ignore them. SPIN
# must report each mutation as a violation. The mutations run with engines that ignore the tokens, because some rules
# exist only for these engines.
set -euo pipefail
cd "$(dirname "$0")"
model=$PWD/groups.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# verify runs the model with the given macros and writes SPIN's report to the file named after them.
verify() {
  local dir="$work/${*// /}.d"
  mkdir "$dir"
  cd "$dir"
  spin -a "${@/#/-D}" "$model" >/dev/null
  gcc -O2 -w -DSAFETY -DMEMLIM=2048 -o pan pan.c
  ./pan -E -m400000 >"$work/$*"
}

# number prints the number of stored states in the report file $1.
number() {
  sed -n "s/^ *\([0-9]*\) *states, stored.*/\1/p" "$work/$1" | tail -1
}

# Each run uses up to 0.6 GB, so that three concurrent runs stay below 2 GB.
rules="NO_WATCH NO_IDLE NO_CONDITION NO_WAIT NO_RECHECK NO_CONFIRM NO_MATCH NO_AGE"
for run in "IGNORE NO_IDLE" "CHECK" "IGNORE" $(printf 'IGNORE:%s ' ${rules//NO_IDLE/}); do
  while [ "$(jobs -rp | wc -l)" -ge 3 ]; do wait -n; done
  # shellcheck disable=SC2086
  (verify ${run//:/ }) &
done
wait

for engine in CHECK IGNORE; do
  if ! grep -q "errors: 0" "$work/$engine" || grep -qi "search not completed\|depth too small\|out of memory\|memory limit" "$work/$engine"; then
    echo "groups: $engine FAILED"
    cat "$work/$engine"
    exit 1
  fi
  echo "groups: engines that $engine numbers: no violation in $(number "$engine") states"
done
for rule in $rules; do
  if ! grep -q "assertion violated" "$work/IGNORE $rule"; then
    echo "groups: $rule is not reported as a violation"
    exit 1
  fi
  echo "groups: $rule violates $(sed -n 's/^pan:1: assertion violated \(.*\) (at depth.*/\1/p' "$work/IGNORE $rule") after $(number "IGNORE $rule") states"
done
