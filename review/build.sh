#!/usr/bin/env bash
# Builds the stand-ins of the cases, which need no dependencies, and the earlier build of case 1 from
# the repository's history. Neither needs a network: Cargo.lock is the same in both builds.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/standin review/standin/main.rs

# The version in production before the upgrade (issue 34).
commit=8ab0a3460015481424505ebcd85862ea84b531b2
old=target/review/old
build_old() {
    rm -rf $old && mkdir -p $old && git archive $commit | tar -x -C $old || return 1
    (cd $old && cargo build --locked --offline --release --package galenatrail-platform \
        --target-dir target)
}
if [ ! -x $old/target/release/platform-entry ]; then
    build_old || echo "case 1 cannot run without the earlier build" >&2
fi
