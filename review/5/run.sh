#!/usr/bin/env bash
# One play of this case; TROUBLE=0 plays it without the disruption. 0: the rule held, 1: it was broken, 2: not run.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/review/bin/case-$(basename "$folder")
if [ ! -x "$program" ] || [ ! -x "$root/target/release/stairfront" ]; then
    echo "not built: run cargo build --release and review/build.sh" >&2
    exit 2
fi
# A process group of its own, so that whatever the program has started ends with it.
timeout -k 5 110 "$program" "$folder" "$root" &
group=$!
wait "$group"
status=$?
kill -KILL -- "-$group" 2>/dev/null
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
