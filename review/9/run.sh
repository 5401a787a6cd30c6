#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
cases=target/review-2/release/cases
[ -x "$cases" ] || { echo "run review/build-2.sh first"; exit 2; }
exec "$cases" gang review/9
