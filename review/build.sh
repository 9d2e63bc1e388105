#!/bin/sh
# Builds the stand-ins of the review into target/review. Needs rustc only, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/rig/main.rs
