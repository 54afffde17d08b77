#!/bin/bash
# Builds what the script cases 4 to 8 start besides the program of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-stage ./review/stage
