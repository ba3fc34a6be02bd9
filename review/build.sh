#!/usr/bin/env bash
# Builds the stand-ins of the cases that are scripts. Run it after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -tags review -o target/review-harness ./review/harness
