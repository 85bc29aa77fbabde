#!/bin/sh
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption. It needs target/foldd and what review/build-3.sh builds.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
for program in foldd review3; do
	[ -x "$root/target/$program" ] || { echo "target/$program is missing: build first"; exit 2; }
done
timeout -k 2 115 "$root/target/review3" digits "$root"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
