#!/bin/sh
# Builds the programs of the cases 6 to 10, with the stand-ins that they start, into review/_src-2/bin.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/_src-2/bin
for case in review/_src-2/case*; do
	go build -o review/_src-2/bin/ "./$case"
done
