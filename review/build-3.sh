#!/usr/bin/env bash
# Builds the stand-ins of the cases review/11 to review/15 with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -A dead_code -o target/review-3/review-3 review/standin-3/main.rs
