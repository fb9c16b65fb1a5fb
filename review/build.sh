#!/bin/sh
# Builds the stand-ins of the cases into review/bin, with the project's compiler and the standard library alone.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for source in stand-ins/case-*.rs; do
    rustc --edition 2024 -O -o "bin/$(basename "$source" .rs)" "$source"
done
