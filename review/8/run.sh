#!/usr/bin/env bash
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.." || exit 2
[ -x target/laburnumlock ] && [ -x target/review2 ] || exit 2
exec target/review2 stutter "$folder"
