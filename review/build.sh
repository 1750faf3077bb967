#!/bin/sh
# Builds the stand-ins of the cases, which need the standard library alone.
set -eu
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
go build -o ../../target/review/standin .
