#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2 ./review/_standin2
go build -o target/standin3 ./review/_standin3
