#!/usr/bin/env bash
# Builds the stand-ins and drivers of the second review. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
