#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruption. Needs the daemon as deploy/system.toml builds it, and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/brasswinchd ] && [ -x target/review-2/standins ] || exit 2
target/review-2/standins two-lengths review/8/record.txt
code=$?
[ $code -le 2 ] || code=2
exit $code
