#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/doorpond-edge ] || [ ! -x target/review-harness ]; then
  bash review/build.sh || exit 2
fi
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then
  trouble=false
fi
exec target/review-harness --case crashing-caller --record review/3/record.txt --length 30s --trouble="$trouble"
