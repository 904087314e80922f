#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They use only Go's standard library.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off go build -buildvcs=false -o ../target/review-harness ./harness
