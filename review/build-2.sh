#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
for source in review/*/Case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-2/case-$number" &
done
for job in $(jobs -p); do
  wait "$job"
done
