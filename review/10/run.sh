#!/usr/bin/env bash
# Exits with 1 if the rule in claim.txt was broken, with 0 if it held, and with 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
[ -x "$root/target/dragonflypin" ] && [ -x "$root/target/review-2" ] || { echo "build the deploy file's programs, then review/build-2.sh"; exit 2; }
exec "$root/target/review-2" -root "$root" -record "$here/record.txt" -trouble=$trouble leaving-replica
