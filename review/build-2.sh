#!/usr/bin/env bash
# Builds the stand-ins of the second review with the compiler alone. The project's own programs are built by the command of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand-ins-2 review/stand-ins-2/main.rs
