#!/usr/bin/env bash
# Plays a case: run-case.sh FOLDER CLASS. Exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
timeout -k 2 112 "$(bin/java-home)/bin/java" -cp target/review "review.$2" "$folder" "$temporary"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
