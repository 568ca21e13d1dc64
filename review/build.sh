#!/usr/bin/env bash
# Builds the programs of the cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
g++ -std=c++20 -O1 -c review/common/Harness.cpp -o target/review/Harness.o
for scenario in review/*/scenario.cpp; do
  name=$(basename "$(dirname "$scenario")")
  g++ -std=c++20 -O1 "$scenario" target/review/Harness.o -o "target/review/case-$name" -pthread
done
