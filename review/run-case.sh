#!/usr/bin/env bash
# Runs the stand-ins of a case: run-case.sh FOLDER PROGRAM. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
folder=$(cd "$1" && pwd)
program="$(cd "$(dirname "$0")" && pwd)/bin/$2"
cd "$(dirname "$0")/.." || exit 2
[ -x "$program" ] && [ -x target/Services/lovageward/lovageward ] || { echo "build target/ and run review/build.sh first"; exit 2; }
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
# The gateways are children of the program and end with it.
timeout -k 2 110 "$program" "$work" "$folder/record.txt"
result=$?
[ "$result" -le 1 ] && exit "$result"
cat "$work"/*.log 2>/dev/null | tail -5
exit 2
