#!/usr/bin/env bash
# Starts the stand-ins and three entry instances on loopback, serves requests end to end, and stops them again.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap finish EXIT

go build -o "$dir/aspenseam" .
start() {
  local name=$1
  shift
  "$dir/aspenseam" "$@" >"$dir/$name.log" 2>&1 &
  pids+=("$!")
}

start platform standin-platform --address 127.0.0.1:17000 --seed examples/quickstart/seed.jsonc
for n in 1 2 3 4 5 6; do
  start "w$n" standin-endpoint --address "127.0.0.1:1740$n" --id "w$n" --work 5ms
done
for n in 1 2 3; do
  start "entry$n" entry --settings "examples/quickstart/entry$n.jsonc"
done

for n in 1 2 3; do
  for _ in $(seq 100); do
    curl -sf "http://127.0.0.1:1711$n/.aspenseam/ready" >/dev/null && break
    sleep 0.1
  done
done

echo "== a repeatable request through each entry instance"
for n in 1 2 3; do
  curl -s -i -H 'Aspenseam-Service: books' "http://127.0.0.1:1711$n/logs/oak"
  echo
done
echo "== an unrepeatable request, sent twice through different entry instances: it runs once"
for n in 1 3; do
  curl -s -i -X POST -H 'Aspenseam-Service: books' -H 'Aspenseam-Caller: clerk7' \
    -H 'Aspenseam-Request-Id: reserve-4711' -H 'Aspenseam-Repeat: unrepeatable' \
    -d '{"boards":12}' "http://127.0.0.1:1711$n/boards/reserve"
  echo
done

export ASPENSEAM_ADDRESS=127.0.0.1:17311 ASPENSEAM_TOKEN=quickstart-token-not-for-use
as() { "$dir/aspenseam" "$@"; }
echo "== an operator plans the reboot of a rack"
as plan reboot --rack plovdiv-r1 --why 'kernel update'
id=$(as plans --json | sed -n 's/^    "id": "\(.*\)",$/\1/p' | head -n 1)
echo "== and confirms it; requests go on while it is carried out"
as confirm "$id"
answered=0
for _ in $(seq 600); do
  outcome=$(curl -s -o "$dir/answer" -w '%header{aspenseam-outcome}' -H 'Aspenseam-Service: books' http://127.0.0.1:17112/logs/oak)
  [ "$outcome" = answered ] && answered=$((answered + 1))
  as plans "$id" | grep -q 'status.*done' && break
  sleep 0.02
done
echo "requests answered meanwhile: $answered"
as plans "$id"
as audit
go build -o "$dir/report" ./report
"$dir/report" --out "${REPORT_OUT:-$dir/report-out}" && echo "report written"
