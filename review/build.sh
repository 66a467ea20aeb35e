#!/usr/bin/env bash
# Builds the stand-ins and clients that the scripts of the cases start; needs only rustc and its standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-case review/standins/main.rs
