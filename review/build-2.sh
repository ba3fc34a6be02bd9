#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. To be run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-stage
go build -tags review -o target/review-stage/ ./review/stage
