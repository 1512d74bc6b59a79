#!/usr/bin/env bash
# Requests that wait beside a server that begins to leave are never answered; see claim.txt.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0: without the disruption.
# Plays up to three times, one after the other, and ends with the first play that broke the rule.
set -u
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}"
[ -x target/rt/bin/java ] && [ -f target/review-3/QueueOfLeaving.class ] || exit 2
for _ in 1 2 3; do
	timeout -k 5 35 "$(bin/java-home)/bin/java" -cp "target/review-3:$(echo target/app/gson-*.jar)" QueueOfLeaving review/9/record.txt
	case $? in
	100) ;;
	101) exit 1 ;;
	*) exit 2 ;;
	esac
done
exit 0
