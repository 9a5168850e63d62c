#!/usr/bin/env bash
# A tenant is taken away and brought back within 3.3 s; meanwhile the leader is killed.
# An argument names another file for the record. Status 0: the rule held; 1: it was broken; 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/reachlb target/review/release/standin; do
    [ -x "$program" ] || { echo "$program is missing: build it first"; exit 2; }
done
exec target/review/release/standin requota "${1:-review/3/record.txt}"
