#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/brasswinchd ] || cargo build --release --locked --offline -p brasswinch-daemon || exit 2
bash review/build.sh || exit 2
exec target/review/standins pipeline review/3/record.txt
