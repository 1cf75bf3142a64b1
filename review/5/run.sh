#!/bin/sh
# Exit: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/chestnutgapd ] && [ -x target/review/case-5 ] || exit 2
directory=$(mktemp -d) || exit 2
target/review/case-5 review/5/record.txt "$directory"
status=$?
rm -rf "$directory"
[ "$status" -le 2 ] || status=2
exit "$status"
