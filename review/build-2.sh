#!/usr/bin/env bash
# Builds the stand-in of the script cases of this review into target/. It needs nothing
# but Go: the source is one file that uses the standard library alone. The file's name
# does not end in .go, so that the module's tools leave it alone.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp review/standin-2/main.go.txt "$work/main.go"
printf 'module review-standin-2\n\ngo 1.26\n' > "$work/go.mod"
mkdir -p target
target="$PWD/target/review-standin-2"
(cd "$work" && GOWORK=off GOFLAGS=-mod=mod go build -o "$target" .)
