#!/bin/sh
# Builds the stand-ins of the cases from number 6 on, into the folder of the build. Needs nothing but the toolchain.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    if [ -f "review/$number/case.rs" ]; then
        rustc --edition 2024 -O -A warnings -o "target/review-2/case-$number" "review/$number/case.rs"
    fi
done
