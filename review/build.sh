#!/usr/bin/env bash
# Builds the stand-ins of the cases; needs no dependencies and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/standin review/standin/main.rs
