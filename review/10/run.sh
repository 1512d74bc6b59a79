#!/usr/bin/env bash
# A departure opens the way to a leaving server again; see claim.txt.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0: without the disruption.
set -u
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}"
[ -x target/rt/bin/java ] && [ -f target/review-3/DrainReopened.class ] || exit 2
timeout -k 5 110 "$(bin/java-home)/bin/java" -cp "target/review-3:$(echo target/app/gson-*.jar)" DrainReopened review/10/record.txt
case $? in
100) exit 0 ;;
101) exit 1 ;;
*) exit 2 ;;
esac
