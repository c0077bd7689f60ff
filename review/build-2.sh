#!/bin/sh
# Builds the stand-ins that the scripts of this review start.
set -e
cd "$(dirname "$0")/.."
go build -o target/plant ./review/plant
