#!/usr/bin/env bash
# Writes the settings of a deployment's entry instances, one file each, and an operator key for trials. The instances
# are those of platform.json; the operator port of an instance is its caller port + 100.
# Usage: scripts/make-entry-settings.sh DEPLOYMENT OUTPUT-DIRECTORY
set -euo pipefail

deployment=$1
mkdir -p "$2"
output=$(cd "$2" && pwd)
cd "$(dirname "$0")/../deployments/$deployment"

member() {
  sed -n "s/.*\"$1\": *\"\([^\"]*\)\".*/\1/p" <<<"$2"
}

if [ ! -f "$output/operator.key" ]; then
  (umask 077 && openssl rand -hex 24 >"$output/operator.key")
fi

grep '"kind": *"entry"' platform.json | while read -r line; do
  name=$(member name "$line")
  caller=$(member address "$line")
  sed -e "s|@NAME@|$name|" -e "s|@REGION@|$(member region "$line")|" \
    -e "s|@FAILURE_DOMAIN@|$(member failure_domain "$line")|" -e "s|@CALLER_ADDRESS@|$caller|" \
    -e "s|@OPERATOR_ADDRESS@|${caller%:*}:$((${caller##*:} + 100))|" \
    -e "s|@PEER_ADDRESS@|$(member peer_address "$line")|" -e "s|@DIRECTORY@|$output|" \
    entry-template.json >"$output/entry-$name.json"
done
echo "$(ls "$output"/entry-*.json | wc -l) settings files in $output"
