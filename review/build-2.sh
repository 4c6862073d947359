#!/bin/sh
# Builds the program of the cases 6 to 10: their clients, cache hosts, origin and discovery agents. It needs the Rust
# compiler alone. The balancer itself comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/cases review/common-2/main.rs
