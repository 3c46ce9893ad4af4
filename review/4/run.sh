#!/usr/bin/env bash
# Case power-loss; see claim.txt. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x build/review/review-case ] || exit 2
timeout 110 build/review/review-case power-loss target/programs \
  "$folder/record.txt"
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
