#!/usr/bin/env bash
# Builds what the scripts of the cases start: one program a case, of the standard library alone, into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.rs; do
    rustc --edition 2021 -O -o "bin/case-$(dirname "$source")" "$source"
done
