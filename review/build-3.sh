#!/bin/sh
# Builds the stand-in of the third review, which the scripts of review/11 and later start.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-3/standin ./review/_standin4
