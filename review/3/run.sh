#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves out the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
trouble=true
if [ "${TROUBLE:-1}" = 0 ]; then trouble=false; fi
[ -x target/review-stand ] || { echo "target/review-stand is missing: run review/build.sh" >&2; exit 2; }
exec target/review-stand -case drain -gateway target/tealvane-gateway -record review/3/record.txt -trouble=$trouble
