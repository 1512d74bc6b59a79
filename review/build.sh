#!/usr/bin/env bash
# Compiles the stand-ins and the cases; needs the JDK only. The classes go under target/.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
exec "$(bin/java-home)/bin/javac" -d target/review review/harness/*.java
