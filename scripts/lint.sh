#!/usr/bin/env bash
# Runs clang-tidy over the sources, or over the given ones. Needs a configured build directory.
# Usage: scripts/lint.sh BUILD-DIRECTORY [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."

build=$1
shift
if [ $# -eq 0 ]; then
  mapfile -t files < <(git ls-files '*.cpp' | grep -v '\.pb\.' | grep -v '/fuzz/' || true)
else
  files=("$@")
fi
printf '%s\n' "${files[@]}" | xargs -P "${PERIDOT_LINT_JOBS:-10}" -n 1 clang-tidy -p "$build" --quiet 2>/dev/null
