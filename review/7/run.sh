#!/bin/sh
# Runs the case after the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/zinnia-node ] && [ -x review/_src-2/bin/case7 ] || exit 2
exec review/_src-2/bin/case7 review/7/record.txt
