#!/bin/sh
# Builds the stand-ins and clients of the second review's scripts, after the build of the
# deploy file.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target && exec go build -o target/review-2 ./review/harness2
