#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file. They need the
# compiler and its standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -D warnings -o target/review-3/rig review/rig-3/main.rs
