#!/usr/bin/env bash
# A backend fails orders that it has carried out; see claim.txt.
set -u
cd "$(dirname "$0")/../.."
"$(bin/java-home)/bin/java" -cp target/review-2 FailingServer review/7/record.txt
