#!/usr/bin/env bash
# Checks the command lines and exit codes of the programs as an operator sees them.
# Usage: check-programs.sh DIRECTORY-OF-PROGRAMS DEPLOYMENTS-DIRECTORY
set -euo pipefail

bin=$1
deployments=$2
directory=$(mktemp -d)
started=""
cleanup() {
  if [ -n "$started" ]; then
    kill "$started" 2>/dev/null || true
  fi
  rm -rf "$directory"
}
trap cleanup EXIT

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

# expect CODE TEXT COMMAND...: the command must end with the code, and its output must hold the text.
expect() {
  local code=$1 text=$2 actual=0
  shift 2
  "$@" >"$directory/output" 2>&1 || actual=$?
  [ "$actual" = "$code" ] || fail "$*: exit code $actual instead of $code: $(cat "$directory/output")"
  grep -qF -- "$text" "$directory/output" || fail "$*: no '$text' in: $(cat "$directory/output")"
}

for program in peridot-platform peridot-backend peridot-load; do
  expect 0 "--settings" "$bin/$program" --help
  expect 0 "$program 0." "$bin/$program" --version
  expect 2 "--settings is missing" "$bin/$program"
  expect 2 "unrecognised option" "$bin/$program" --nonsense
  expect 2 "cannot be read" "$bin/$program" --settings "$directory/missing.json"
  echo '{ "deployment": ' >"$directory/broken.json"
  expect 2 "parse" "$bin/$program" --settings "$directory/broken.json"
  echo '{ "deployment": 5 }' >"$directory/wrong.json"
  expect 2 "deployment: found 5, expected" "$bin/$program" --settings "$directory/wrong.json" --check-settings
done
for file in "$deployments"/*/platform.json; do
  expect 0 valid "$bin/peridot-platform" --check-settings --settings "$file"
done
for file in "$deployments"/*/backend-*.json; do
  expect 0 valid "$bin/peridot-backend" --check-settings --settings "$file"
done
for file in "$deployments"/*/callers.json; do
  expect 0 valid "$bin/peridot-load" --check-settings --settings "$file"
done

callers=$(ls "$deployments"/*/callers.json | head -1)
expect 2 "--duration-ms: found x" "$bin/peridot-load" --settings "$callers" --duration-ms x
expect 2 "--multiple: found nobody=2" "$bin/peridot-load" --settings "$callers" --multiple nobody=2

# start PROGRAM: starts it with settings.json, whose ports @0@ and @1@ are replaced by free ones.
start() {
  local port attempt
  for attempt in $(seq 20); do
    port=$((20000 + (RANDOM * 32768 + RANDOM) % 12000))
    sed -e "s/@0@/$port/" -e "s/@1@/$((port + 1))/" "$directory/settings.json" >"$directory/started.json"
    # Emptied here and not by the redirection below: that may happen after the first look at the file, which would then
    # still say that the program before has started.
    : >"$directory/log"
    "$bin/$1" --settings "$directory/started.json" 2>>"$directory/log" &
    started=$!
    while ! grep -q event=start "$directory/log"; do
      kill -0 "$started" 2>/dev/null || break
      sleep 0.05
    done
    if grep -q event=started "$directory/log"; then
      first=127.0.0.1:$port
      second=127.0.0.1:$((port + 1))
      return
    fi
    wait "$started" || true
  done
  fail "$1 does not start: $(cat "$directory/log")"
}

# expect_end CODE: the started program must end with the code.
expect_end() {
  local actual=0
  wait "$started" || actual=$?
  [ "$actual" = "$1" ] || fail "exit code $actual instead of $1: $(cat "$directory/log")"
  started=""
}

echo '{ "deployment": "d", "listen": "127.0.0.1:@0@", "instances": [] }' >"$directory/settings.json"
start peridot-platform
curl -sSf "$first/v1/statistics" >"$directory/output" 2>&1 || fail "the platform does not answer: $(cat "$directory/output" "$directory/log")"
# A request whose answer is withheld must not keep the program from ending.
curl -s -X PUT "$first/v1/faults" -d '{"hang":true}' >/dev/null
curl -s -m 0.2 -X POST "$first/v1/store" -d '{"type":"list_instances"}' >/dev/null || true
kill -TERM "$started"
expect_end 0

cat >"$directory/settings.json" <<'END'
{ "deployment": "d", "control_listen": "127.0.0.1:@0@", "caller_key_secrets": ["secret-of-a-caller"],
  "services": [ { "name": "a", "median_ms": 0, "p99_ms": 0 } ],
  "servers": [ { "name": "a-1", "region": "r", "failure_domain": "r-1", "service": "a", "listen": "127.0.0.1:@1@",
    "slots": 1, "maximum_connections": 10 } ] }
END
start peridot-backend
curl -sSf "$second/x" >"$directory/output" 2>&1 || fail "the backend server does not answer: $(cat "$directory/output" "$directory/log")"
kill -TERM "$started"
expect_end 0

for leak in "-H|Authorization: Bearer x" "-H|X-Api-Key: x" "-d|id.secret-of-a-caller"; do
  start peridot-backend
  curl -s "${leak%%|*}" "${leak#*|}" "$second/x" >/dev/null || true
  expect_end 70
  grep -q event=caller_key_seen "$directory/log" || fail "no log line about the key"
  grep -q secret-of-a-caller "$directory/log" && fail "the key is in the log"
done
echo "all checks passed"
