#!/usr/bin/env bash
# Runs the stand-ins of one case against target/sedgecartd. Usage: run-case.sh NUMBER
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
review=$(cd "$(dirname "$0")" && pwd)
cd "$review/.." || exit 2
[ -x target/sedgecartd ] && [ -x "$review/bin/case-$1" ] || { echo "build first: the deploy file's build line, review/build.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 110 "$review/bin/case-$1" "$folder" "$review/$1/record.txt"
result=$?
[ "$result" -le 1 ] || result=2
exit "$result"
