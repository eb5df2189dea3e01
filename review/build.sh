#!/bin/bash
# Builds the stand-ins of the scripts.
set -e
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/standin/...
