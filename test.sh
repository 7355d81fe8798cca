#!/bin/sh
# Formatting, lints, documentation and tests.
set -eu
cd "$(dirname "$0")"
cargo fmt --check
cargo clippy --locked --all-targets --quiet -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --locked --no-deps --quiet
if awk '{ gsub(/[\200-\277]/, "") } length > 110 { exit 1 }' src/balancer/mod.rs; then :; else
    echo "src/balancer/mod.rs has a line over 110 characters" >&2; exit 1
fi
cargo test --locked
