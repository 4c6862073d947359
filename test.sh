#!/usr/bin/env bash
# All checks: format, lints, tests, and the size of the decision module. Tests that are known to be red stand in
# KNOWN-RED.txt, which is absent while none is.
set -euo pipefail
cd "$(dirname "$0")"
policy=crates/stairfront-policy/src/policy.rs
most_lines=1000
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

log=$(mktemp)
trap 'rm -f "$log"' EXIT
status=0
cargo test --locked --workspace --no-fail-fast 2>&1 | tee "$log" || status=${PIPESTATUS[0]}
.ci/judge-tests "$log" KNOWN-RED.txt "$status"
