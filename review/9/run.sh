#!/usr/bin/env bash
# An answer that hides a failure; see claim.txt.
set -u
cd "$(dirname "$0")/../.."
"$(bin/java-home)/bin/java" -cp target/review-2 HiddenFailure review/9/record.txt
