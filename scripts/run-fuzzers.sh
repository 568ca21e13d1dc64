#!/usr/bin/env bash
# Builds the libFuzzer programs with clang++ and runs each from its corpus in the repository. Without an argument each
# tries a fixed number of inputs from a fixed seed, so that CI gives the same verdict each time; with SECONDS, it tries
# fresh ones for that long. An input that fails is kept in build-fuzz/findings.
# Usage: scripts/run-fuzzers.sh [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${1:-}
build=build-fuzz
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_BUILD_TYPE=RelWithDebInfo -DPERIDOT_FUZZ=ON \
  -DPERIDOT_SANITIZE=address,undefined -DPERIDOT_PROGRAMS=OFF -DPERIDOT_WARNINGS_AS_ERRORS=OFF >/dev/null
cmake --build "$build" --target fuzzers
mkdir -p "$build/findings"

# Usage: run PROGRAM CORPUS INPUTS
run() {
  local program=$1 corpus=$2 inputs=$3
  local found="$build/corpus-$program"
  local limits=("-max_total_time=$seconds")
  if [ -z "$seconds" ]; then
    limits=(-seed=1 "-runs=$inputs")
    rm -rf "$found"
  fi
  mkdir -p "$found"
  echo "== $program ${limits[*]}"
  "$build/bin/$program" "${limits[@]}" -timeout=10 -rss_limit_mb=2048 -print_final_stats=1 \
    -artifact_prefix="$build/findings/$program-" "$found" "$corpus" >"$build/$program.log" 2>&1 || {
    tail -n 40 "$build/$program.log"
    return 1
  }
  grep -aE '^INFO: Seed|number_of_executed_units' "$build/$program.log"
}

# Each number of inputs takes some ten seconds of a core.
run fuzz-requests libs/http/fuzz/corpus/requests 20000
run fuzz-responses libs/http/fuzz/corpus/responses 8000
run fuzz-envelopes libs/wire/fuzz/corpus/envelopes 400000
run fuzz-documents platform/fuzz/corpus/documents 100000
run fuzz-steering platform/fuzz/corpus/documents 10000
