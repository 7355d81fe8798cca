#!/bin/sh
# Builds the stand-ins of the cases. The deploy file's build builds the node.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin.rs
