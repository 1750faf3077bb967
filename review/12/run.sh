#!/usr/bin/env bash
# Evacuates a zone and takes it back with cold endpoints, five times. Exits with 1 if rule
# FAILBACK was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 does the same
# without evacuations and cold endpoints.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standin3 ] && [ -x target/crocus-entry ] && [ -x target/crocus-agent ] || exit 2
exec target/review-3/standin3 -case cold-after-evacuation -record review/12/record.txt
