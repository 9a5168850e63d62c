#!/usr/bin/env bash
# The operator takes tenants away while their clients send.
# An argument names another file for the record. Status 0: the rule held; 1: it was broken; 2: the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/reachlb target/review/release/standin; do
    [ -x "$program" ] || { echo "$program is missing: build it first"; exit 2; }
done
exec target/review/release/standin tenants "${1:-review/2/record.txt}"
