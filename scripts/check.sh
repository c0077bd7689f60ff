#!/usr/bin/env bash
# Format, vet, staticcheck at a pinned version, and every test with the race detector.
set -euo pipefail
cd "$(dirname "$0")/.."

unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
  echo "gofmt: $unformatted"
  exit 1
fi
go vet ./...
go tool staticcheck ./...
go test -race -count=1 -timeout 40m ./...
