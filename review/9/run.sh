#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the trouble.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
for program in target/release/godwithaven-entry target/review-2/bed; do
    [ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build-2.sh" >&2; exit 2; }
done
exec target/review-2/bed late "$here"
