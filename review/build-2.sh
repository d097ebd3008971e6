#!/usr/bin/env bash
# Builds the stand-ins and players of the second review's cases into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cc; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    c++ -std=c++20 -O1 -pthread -Ireview/standins-2 "$source" -o "target/review-2/case-$number"
done
