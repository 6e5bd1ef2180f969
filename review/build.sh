#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standin .
