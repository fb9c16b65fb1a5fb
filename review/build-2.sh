#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, besides the sender, into target/review-2. Needs the compiler
# alone: no network, no package.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
rustc --edition 2021 -O --crate-type rlib --crate-name kit review/stand-ins-2/kit.rs -o "$out/libkit.rlib"
for source in review/*/case.rs; do
    number=$(basename "$(dirname "$source")")
    rustc --edition 2021 -O "$source" --extern "kit=$out/libkit.rlib" -o "$out/case-$number"
done
