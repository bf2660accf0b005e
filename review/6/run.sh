#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")" || exit 2
program=../../target/review-2/release/review-cases
[ -x "$program" ] && [ -x ../../target/release/cowslipford ] || exit 2
exec "$program" history record.txt ../..
