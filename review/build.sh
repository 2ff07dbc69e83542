#!/usr/bin/env bash
# Builds the stand-ins of the cases with the compiler alone; they use no library but its own.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standins review/standins/main.rs
