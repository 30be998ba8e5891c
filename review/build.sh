#!/bin/sh
# Builds the stand-ins of the scripted cases. The nodes come from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/harness ./review/harness
