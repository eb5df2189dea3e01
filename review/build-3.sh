#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review into target/review-3, after the build
# of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3/ ./review/bed3/cmd/...
