#!/usr/bin/env bash
# Builds the stand-ins of the cases, which need no dependencies, and the earlier build of case 1 from
# the repository's history. Neither needs a network: Cargo.lock is the same in both builds.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/standin review/standin/main.rs

# The version in production before the upgrade (issue 34).
commit=8ab0a34d
old=target/review/old
if [ ! -x $old/target/release/platform-entry ]; then
    rm -rf $old
    mkdir -p $old
    git archive $commit | tar -x -C $old
    (cd $old && cargo build --locked --offline --release --package galenatrail-platform \
        --target-dir target) || echo "case 1 cannot run without the earlier build" >&2
fi
