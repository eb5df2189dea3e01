#!/usr/bin/env bash
# Exits with 1 if a kind of request is served less than a quarter as often as all, 0 if not, and 2
# if the case could not run. TROUBLE=0 leaves out the crash of the runners.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/starved ] && [ -x target/auburnbend-gateway ] && [ -x target/auburnbend-replica ] || exit 2
timeout -k 5 100 target/review-3/starved review/11/record.txt
code=$?
[ $code -le 1 ] || code=2
exit $code
