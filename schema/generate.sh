#!/usr/bin/env bash
# Generates the Go code of operator.proto with the pinned tools.
set -euo pipefail
cd "$(dirname "$0")"
go tool -modfile=../tools/go.mod buf generate
