#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-2/bvreview ] && [ -x ../../target/balsamvane ] || exit 2
exec ../../target/review-2/bvreview collision --program ../../target/balsamvane --record record.txt
