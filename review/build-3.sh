#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
GOWORK=off go build -C review/tool-3 -o ../../target/review-3/review3 .
