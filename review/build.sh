#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start. They need no other module.
# Their sources have names that end in .go.txt, so that the project's tests and linters,
# which read all Go files, leave them out: they contain the platform's names.
set -euo pipefail
cd "$(dirname "$0")/standin"
out=$(cd ../.. && pwd)/target
mkdir -p "$out"
build=$(mktemp -d)
trap 'rm -rf "$build"' EXIT
cp go.mod "$build/"
for file in *.go.txt; do
	cp "$file" "$build/${file%.txt}"
done
cd "$build"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o "$out/review-standin" .
