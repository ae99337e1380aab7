#!/bin/sh
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)".*$/\1/p' deploy/balancer.toml)
export RUN_COMMAND
export CASE_FOLDER="$PWD/review/10"
export TROUBLE="${TROUBLE:-1}"
test -x target/review-2/case-10 || exit 2
exec target/review-2/case-10
