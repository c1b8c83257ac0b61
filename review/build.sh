#!/bin/sh
# Builds the programs of the cases into target/review, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[0-9]/main.rs; do
    [ -f "$main" ] || continue
    number=$(basename "$(dirname "$main")")
    rustc --edition 2024 -O -o "target/review/case-$number" "$main"
done
