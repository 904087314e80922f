#!/usr/bin/env bash
# Plays the case of claim.txt; see there. TROUBLE=0 leaves out the disruption.
set -euo pipefail
cd "$(dirname "$0")/../.."
exec target/review-harness refused review/1/record.txt
