#!/usr/bin/env bash
# All checks: format, lints, tests, and the size of the decision module.
set -euo pipefail
cd "$(dirname "$0")"
policy=crates/stairfront-policy/src/policy.rs
most_lines=820
most_columns=110

cargo fmt --all --check
cargo clippy --locked --workspace --all-targets -- -D warnings

lines=$(grep -c '[^[:space:]]' "$policy")
echo "decision module: $lines lines that are not blank, $most_lines at most"
if [ "$lines" -gt "$most_lines" ]; then
    echo "the decision module is too long" >&2
    exit 1
fi
if long=$(grep -nE "^.{$((most_columns + 1)),}" "$policy"); then
    echo "lines of over $most_columns characters:" >&2
    echo "$long" >&2
    exit 1
fi

cargo test --locked --workspace
