#!/bin/sh
# Plays the case; claim.txt says what it shows. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cumintally ] && [ -x target/review-2/standin2 ] || exit 2
exec timeout -s TERM -k 5 115 target/review-2/standin2 tokens review/6/record.txt
