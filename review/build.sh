#!/usr/bin/env bash
# Builds the stand-ins of the scripts into review/bin/. Needs a C++ compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in standins/*.cc; do
    name=$(basename "$source" .cc)
    g++ -std=c++20 -O1 -Wall -Wextra -Istandins "$source" -o "bin/$name" -pthread
done
