#!/usr/bin/env bash
# Builds the edge node as the deploy file says, and the stand-ins of the review, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/doorpond-edge
go build -o target/review-harness ./review/harness
