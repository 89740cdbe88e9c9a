#!/bin/sh
# Builds the stand-ins of the scripts into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/case1 ./review/_src/case1
