#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. Needs only the compiler of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]*/case.cpp; do
  g++ -std=c++17 -O1 -pthread -o "bin/case-${source%%/*}" "$source"
done
