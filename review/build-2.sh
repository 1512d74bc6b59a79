#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, beside the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2 target/review-3
"$(bin/java-home)/bin/javac" -d target/review-2 review/lib-2/*.java
"$(bin/java-home)/bin/javac" -cp "$(echo target/app/gson-*.jar)" -d target/review-3 review/lib-3/*.java
