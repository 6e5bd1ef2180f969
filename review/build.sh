#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start. They need no other module.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o ../../target/review-standin .
