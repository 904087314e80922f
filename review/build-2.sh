#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They need nothing but Go.
set -euo pipefail
cd "$(dirname "$0")/tool-2"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review2 .
