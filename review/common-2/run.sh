# Common part of run.sh; CASE is the number of the case, and HERE its folder.
# 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$HERE/../.." || exit 2
if [ ! -x target/release/stairfront ] || [ ! -x target/review-2/cases ]; then
    echo "build the deploy file and run review/build-2.sh first" >&2
    exit 2
fi
WORK=$(mktemp -d) || exit 2
trap 'rm -rf "$WORK"' EXIT
target/review-2/cases "$CASE" "$HERE/record.txt" "$WORK" "${TROUBLE:-1}"
