#!/usr/bin/env bash
# Fails if a source file differs from what clang-format makes of it. Generated code is left out.
# Usage: scripts/check-format.sh [--fix]
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files '*.cpp' '*.h' | grep -v '\.pb\.' || true)
if [ "${1:-}" = --fix ]; then
  clang-format -i "${files[@]}"
else
  clang-format --dry-run --Werror "${files[@]}"
fi
