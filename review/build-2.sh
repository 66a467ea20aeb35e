#!/bin/bash
# Builds the test bed of the second review, with the stand-ins that its scripts start. It needs nothing but rustc.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/bed review/standins-2/bed.rs
