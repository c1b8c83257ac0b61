#!/bin/bash
# Builds the programs of the cases of the second review with the standard library only.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2
for main in review/[4-8]/main.rs; do
    case=$(basename "$(dirname "$main")")
    rustc --edition 2024 -O -o "target/review-2/case-$case" "$main" || exit 2
done
