#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
dir=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$dir/../.." && pwd)
stand_in="$dir/../stand-ins-3/target/release/late_order"
if [ ! -x "$stand_in" ] || [ ! -x "$root/target/release/zinnia-platform" ]; then
    echo "run the build of the deploy file and review/build-3.sh first" >&2
    exit 2
fi
exec "$stand_in" "$dir" "$root"
