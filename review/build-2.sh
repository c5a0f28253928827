#!/bin/sh
# Builds the stand-ins that the scripts of the second review start: one binary, target/review-2.test.
set -e
cd "$(dirname "$0")/.."
go test -c -tags review2 -o target/review-2.test ./review/stage
