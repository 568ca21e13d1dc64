#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. Does nothing where all of them are installed.
set -euo pipefail

packages=(g++ cmake ninja-build ccache clang clang-format clang-tidy libclang-rt-14-dev pkg-config
  libcpprest-dev libssl-dev libzmq3-dev cppzmq-dev libprotobuf-dev libspdlog-dev libfmt-dev libcppunit-dev
  libexpected-dev nlohmann-json3-dev libxxhash-dev libzstd-dev libsodium-dev libbenchmark-dev libboost-dev
  libboost-program-options-dev gnuplot-nox curl jq openssl)

missing=()
for package in "${packages[@]}"; do
  if [ "$(dpkg-query -W -f='${db:Status-Status}' "$package" 2>/dev/null)" != installed ]; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi

run=()
if [ "$(id -u)" -ne 0 ]; then
  run=(sudo)
fi
"${run[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -qq "${missing[@]}"
