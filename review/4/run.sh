#!/bin/sh
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/release/shallotstall-platform ] && [ -x target/review/case4 ] || exit 2
target/review/case4 "$here/record.txt"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
