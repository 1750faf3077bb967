#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts under target/review-3.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-3/standin3 ./review/_standin3
