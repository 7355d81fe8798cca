#!/bin/sh
# Formatting, lints, tests and the limits of the decision module.
set -eu
cd "$(dirname "$0")"
cargo fmt --check
cargo clippy --locked --all-targets --quiet -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --locked --no-deps --quiet
lines=$(grep -vc '^[[:space:]]*$' src/decide.rs)
[ "$lines" -le 550 ] || { echo "src/decide.rs has $lines non-blank lines; 550 are allowed" >&2; exit 1; }
if awk '{ gsub(/[\200-\277]/, "") } length > 110 { exit 1 }' src/decide.rs; then :; else
    echo "src/decide.rs has a line over 110 characters" >&2; exit 1
fi
# All files that hold decisions, as the deploy file names them.
policy=$(sed -n 's/^policy = \[\(.*\)\].*/\1/p' deploy/balancer.toml | tr -d '",')
lines=$(cat $policy | grep -vc '^[[:space:]]*$')
[ "$lines" -le 1200 ] || { echo "the policy files have $lines non-blank lines; 1200 are allowed" >&2; exit 1; }
cargo test --locked
