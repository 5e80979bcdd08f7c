#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sedgecartd ] && [ -x build-review-2/secondmodel ] || exit 2
timeout -k 2 110 build-review-2/secondmodel review/7/record.txt
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
