#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3. Needs the
# packages of the deploy file only; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
out=../../target/review-3
mkdir -p "$out"
for source in *.cc; do
  g++ -std=c++20 -O1 -Wall -pthread "$source" -o "$out/${source%.cc}"
done
