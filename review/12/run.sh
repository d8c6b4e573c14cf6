#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dragonflypin ] && [ -x target/review-3 ] || { echo "build the deploy file's programs, then review/build-3.sh"; exit 2; }
exec target/review-3 gap review/12
