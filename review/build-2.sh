#!/bin/sh
# Builds the stand-ins of the second review's scripts: one program for each script, standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/standin-2/*.cpp; do
	program=$(basename "$source" .cpp)
	g++ -std=c++17 -O1 -Wall -Wextra -pthread "$source" -o "build-review-2/$program"
done
