#!/bin/sh
# Runs the case "two-leaders"; claim.txt describes it. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
dir=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$dir/../.." || exit 2
for program in target/pvalve-gateway target/pvalve-supervisor review/bin/rig; do
	[ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build.sh" >&2; exit 2; }
done
exec review/bin/rig two-leaders "$dir/record.txt"
