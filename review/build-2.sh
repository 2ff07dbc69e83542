#!/bin/sh
# Builds the stand-ins of the second review's scripts. Needs only the Rust toolchain: they use the
# standard library alone, so nothing is fetched.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -C debuginfo=0 -o target/review-2/standins review/standins-2/main.rs
