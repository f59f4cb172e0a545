#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10; needs only the Rust compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/review_2 review/stand-ins-2/review_2.rs
