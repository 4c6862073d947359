#!/bin/sh
# See claim.txt. TROUBLE=0 leaves the disruption out.
HERE=$(cd "$(dirname "$0")" && pwd)
CASE=10
. "$HERE/../common-2/run.sh"
