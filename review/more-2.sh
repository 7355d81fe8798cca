#!/bin/sh
# Runs the check of the second report that is no case: half requests that keep proper ones in the backlog. Exit
# status and TROUBLE=0 are as for the cases; the record goes to review/more-2/record.txt.
cd "$(dirname "$0")/.." || exit 2
[ -x target/review-2/half-requests ] || exit 2
exec target/review-2/half-requests review/more-2
