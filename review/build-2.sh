#!/bin/sh
# Builds the stand-ins of review/7 to review/10. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2/release
rustc --edition 2024 -O --crate-name review_2 -o target/review-2/release/review-2 review/standin-2/src/main.rs
