#!/bin/sh
# Formatting, lints, documentation and tests.
set -eu
cd "$(dirname "$0")"
cargo fmt --check
cargo clippy --locked --all-targets --quiet -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --locked --no-deps --quiet
cargo test --locked
