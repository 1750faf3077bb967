#!/usr/bin/env bash
# Builds the stand-ins of the second review.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/standin2 ./review/standin2
