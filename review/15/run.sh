#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
program=../../target/review-3/lapse
[ -x "$program" ] && [ -x ../../target/sapphire_edge ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 "$program" "$folder"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
